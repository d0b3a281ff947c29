//! Links that other control hosts opened, and the upkeep of the own place in the group.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use prost::Message as _;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, ids};
use waxwing_wire::{errors::LinkError, links, messages};

use crate::{commands, errors, host, log, peers};

/// Time between looks at the own membership and at the addresses of the others.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Serves a link of another control host until it ends.
pub(crate) async fn serve<C: Clock>(
    host: host::HostHandle<C>,
    link: links::Link,
    shutdown: CancellationToken,
) {
    let sender = link.sender.clone();
    let peer = link.peer.name.clone();
    let ended = tokio::select! {
        () = shutdown.cancelled() => Ok(()),
        ended = exchange(&host, link) => ended,
    };
    sender.close();
    if let Err(error) = ended {
        tracing::debug!(peer, %error, "link of a control host ended");
    }
}

async fn exchange<C: Clock>(
    host: &host::HostHandle<C>,
    link: links::Link,
) -> Result<(), LinkError> {
    let links::Link {
        peer,
        sender,
        mut receiver,
        ..
    } = link;
    let member = log::member_id(&peer.name);
    loop {
        let envelope = receiver.recv().await?;
        match envelope.body {
            Some(messages::Body::Quorum(quorum)) if quorum.group == 0 => {
                let request = log::LogRequest::Peer {
                    from: member,
                    payload: quorum.payload,
                };
                if host.log.requests.send(request).await.is_err() {
                    return Ok(());
                }
            }
            Some(messages::Body::Submit(submit)) => {
                let host = host.clone();
                let sender = sender.clone();
                tokio::spawn(async move {
                    let answer = answer_submit(&host, submit).await;
                    let _ = sender.send(envelope.correlation, answer).await;
                });
            }
            Some(messages::Body::AskGroup(_)) => {
                let founded = !host.log.shared.status.borrow().members.is_empty();
                let info = messages::Body::GroupInfo(messages::GroupInfo { founded });
                sender.send(envelope.correlation, info).await?;
            }
            Some(messages::Body::RelayOrder(relay)) => {
                // Without a listener, no agent has a link to this host.
                let _ = host.orders.send(relay);
            }
            Some(messages::Body::RelayResult(relay)) => {
                if let Some(result) = relay.result {
                    let _ = host.order_results.send((relay.agent, result));
                }
            }
            Some(messages::Body::Announce(announce)) => {
                let now = host.clock.now();
                let urgent = announce.leaving || announce.lease_millis == 0;
                let changed = host.directory().announce(now, announce);
                if changed && urgent {
                    host.publish_directory();
                }
            }
            _ => {}
        }
    }
}

/// Answers a submission of another host if this host leads; it isn't passed on again, so that two
/// hosts with old views can't send it back and forth.
async fn answer_submit<C: Clock>(
    host: &host::HostState<C>,
    submit: messages::Submit,
) -> messages::Body {
    let answered = if submit.command.is_empty() {
        host.log.confirm().await.map(|index| (index, Vec::new()))
    } else {
        let applied = host.log.submit(submit.command).await;
        applied.map(|(index, result)| (index, result.encode_to_vec()))
    };
    match answered {
        Ok((index, result)) => messages::Body::Submitted(messages::Submitted {
            index,
            result: result.into(),
        }),
        Err(errors::SubmitError::NotLeader { leader }) => {
            messages::Body::Redirect(messages::Redirect {
                address: leader.unwrap_or_default(),
            })
        }
        Err(_) => messages::Body::Unavailable(messages::Unavailable {
            retry_after_millis: 100,
        }),
    }
}

/// A `HostUpkeep` keeps links to all other hosts, joins the group and describes this host in it.
pub(crate) struct HostUpkeep<C> {
    pub(crate) host: host::HostHandle<C>,
    pub(crate) network: Arc<peers::PeerNetwork>,
    pub(crate) dialer: peers::PeerDialer<C>,
    pub(crate) own: commands::MemberInfo,
}

impl<C: Clock> HostUpkeep<C> {
    pub(crate) async fn run(self, shutdown: CancellationToken) {
        loop {
            self.keep_links();
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.keep_place() => {}
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.host.clock.sleep(UPKEEP_INTERVAL) => {}
            }
        }
    }

    /// Keeps links to the hosts of the settings file and to those that the log describes, whose
    /// addresses are newer.
    fn keep_links(&self) {
        let peers = self.host.options.peers.iter();
        let mut wanted: HashMap<String, peers::PeerPlace> = peers
            .map(|peer| {
                let region = String::new();
                let address = peer.link;
                (peer.name.to_string(), peers::PeerPlace { address, region })
            })
            .collect();
        let described = self.host.log.shared.read().members().clone();
        for info in described.values() {
            if let Ok(address) = info.link.parse() {
                let region = info.region.clone();
                let place = peers::PeerPlace { address, region };
                wanted.insert(info.name.clone(), place);
            }
        }
        wanted.remove(&self.own.name);
        self.network.keep(&wanted, &self.dialer);
        let places = wanted.values();
        let mut control: Vec<_> = places.map(|place| place.address.to_string()).collect();
        control.push(self.own.link.clone());
        control.sort_unstable();
        self.host.control.send_if_modified(|known| {
            let changed = *known != control;
            *known = control;
            changed
        });
    }

    async fn keep_place(&self) {
        let listed = self.host.log.shared.status.borrow().listed;
        if !listed {
            self.join().await;
        } else if self.described().as_ref() != Some(&self.own) {
            let action = commands::LogAction::Describe(self.own.clone());
            let _ = self.host.submit(action).await;
        }
    }

    fn described(&self) -> Option<commands::MemberInfo> {
        let machine = self.host.log.shared.read();
        machine.members().get(&self.own.name).cloned()
    }

    /// Asks each other host to be added; the one that leads does it.
    async fn join(&self) {
        let submission = commands::Submission {
            action: None,
            member: Some(commands::MemberRequest {
                kind: commands::MemberActionKind::Join as i32,
                info: Some(self.own.clone()),
            }),
        };
        let submit = messages::Submit {
            group: 0,
            command: submission.encode_to_vec().into(),
        };
        for name in self.network.names() {
            let asked = self
                .network
                .ask(&name, messages::Body::Submit(submit.clone()));
            let answer = tokio::select! {
                answer = asked => answer,
                () = self.host.clock.sleep(host::CONFIRM_INTERVAL) => None,
            };
            if let Some(messages::Body::Submitted(submitted)) = answer {
                let result = commands::CommandResult::decode(submitted.result);
                tracing::info!(peer = name, ?result, "asked to join the group");
                return;
            }
        }
    }
}

/// Describes this host for the group.
pub(crate) fn describe(
    options: &crate::options::ControlOptions,
    link: SocketAddr,
    http: SocketAddr,
    store: ids::StoreId,
) -> commands::MemberInfo {
    commands::MemberInfo {
        name: options.name.to_string(),
        link: link.to_string(),
        http: http.to_string(),
        data_centre: options.data_centre.to_string(),
        store: store.to_bytes().to_vec(),
        region: options.region.to_string(),
    }
}
