//! Serves links from other control hosts, and maintains this host's links and membership.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use prost::Message as _;
use tokio_util::sync::CancellationToken;
use waxwing_core::{clock::Clock, ids};
use waxwing_wire::{errors::LinkError, links, messages};

use crate::{commands, errors, host, log, peers};

/// Time between checks of this host's membership and of the other hosts' addresses.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Serves a link of another control host until it ends.
pub(crate) async fn serve<C: Clock>(
    host: host::HostHandle<C>,
    link: links::Link,
    shutdown: CancellationToken,
) {
    let sender = link.sender.clone();
    let peer = link.peer.name.clone();
    let link_result = tokio::select! {
        () = shutdown.cancelled() => Ok(()),
        link_result = process_messages(&host, link) => link_result,
    };
    sender.close();
    if let Err(error) = link_result {
        tracing::debug!(peer, %error, "link of a control host ended");
    }
}

async fn process_messages<C: Clock>(
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
                    let response = handle_submit(&host, submit).await;
                    let _ = sender.send(envelope.correlation, response).await;
                });
            }
            Some(messages::Body::AskGroup(_)) => {
                let founded = !host.log.shared.status.borrow().members.is_empty();
                let info = messages::Body::GroupInfo(messages::GroupInfo { founded });
                sender.send(envelope.correlation, info).await?;
            }
            Some(messages::Body::RelayOrder(relay)) => {
                // Sending fails only if no agent has a link to this host.
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

/// Runs a submission of another host if this host is the leader. It is not forwarded again, so that
/// two hosts with outdated views can't send it back and forth.
async fn handle_submit<C: Clock>(
    host: &host::HostState<C>,
    submit: messages::Submit,
) -> messages::Body {
    let outcome = if submit.command.is_empty() {
        host.log.read_index().await.map(|index| (index, Vec::new()))
    } else {
        let applied = host.log.submit(submit.command).await;
        applied.map(|(index, result)| (index, result.encode_to_vec()))
    };
    match outcome {
        Ok((index, result)) => messages::Body::Submitted(messages::Submitted {
            index,
            result: result.into(),
        }),
        Err(errors::SubmitError::NotLeader { leader }) => {
            messages::Body::Redirect(redirect_to(host, leader.unwrap_or_default()))
        }
        Err(_) => messages::Body::Unavailable(messages::Unavailable {
            retry_after_millis: 100,
        }),
    }
}

/// Builds the redirect to the leader with this name, which a host that asks to join may not know.
fn redirect_to<C: Clock>(host: &host::HostState<C>, name: String) -> messages::Redirect {
    let machine = host.log.shared.read();
    let info = machine.members().get(&name);
    messages::Redirect {
        address: info.map(|info| info.link.clone()).unwrap_or_default(),
        name,
    }
}

/// Maintains links to all other hosts, joins the group and keeps this host's record in the
/// replicated state current.
pub(crate) struct HostMaintenance<C> {
    pub(crate) host: host::HostHandle<C>,
    pub(crate) network: Arc<peers::PeerNetwork>,
    pub(crate) dialer: peers::PeerDialer<C>,
    pub(crate) own: commands::MemberInfo,
    /// The leader that another host last named while this one is no member; the settings file may
    /// not list it.
    pub(crate) reported_leader: Option<(String, SocketAddr)>,
}

impl<C: Clock> HostMaintenance<C> {
    pub(crate) async fn run(mut self, shutdown: CancellationToken) {
        loop {
            self.update_links();
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.update_membership() => {}
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = self.host.clock.sleep(MAINTENANCE_INTERVAL) => {}
            }
        }
    }

    /// Updates the links to the hosts in the settings file and in the replicated state, and to the
    /// leader that another host named. Addresses in the replicated state take precedence because they
    /// are newer.
    fn update_links(&self) {
        let peers = self.host.options.peers.iter();
        let mut wanted: HashMap<String, peers::PeerLocation> = peers
            .map(|peer| {
                let region = String::new();
                let address = peer.link;
                (
                    peer.name.to_string(),
                    peers::PeerLocation { address, region },
                )
            })
            .collect();
        if let Some((name, address)) = &self.reported_leader {
            let region = String::new();
            let location = peers::PeerLocation {
                address: *address,
                region,
            };
            wanted.insert(name.clone(), location);
        }
        let member_infos = self.host.log.shared.read().members().clone();
        for info in member_infos.values() {
            if let Ok(address) = info.link.parse() {
                let region = info.region.clone();
                let location = peers::PeerLocation { address, region };
                wanted.insert(info.name.clone(), location);
            }
        }
        wanted.remove(&self.own.name);
        self.network.update_links(&wanted, &self.dialer);
        let locations = wanted.values();
        let mut control_addresses: Vec<_> = locations
            .map(|location| location.address.to_string())
            .collect();
        control_addresses.push(self.own.link.clone());
        control_addresses.sort_unstable();
        self.host.control_addresses.send_if_modified(|current| {
            let changed = *current != control_addresses;
            *current = control_addresses;
            changed
        });
    }

    async fn update_membership(&mut self) {
        let is_member = self.host.log.shared.status.borrow().is_member;
        if !is_member {
            self.join().await;
            return;
        }
        // The replicated state has the addresses of all members.
        self.reported_leader = None;
        if self.stored_info().as_ref() != Some(&self.own) {
            let action = commands::LogAction::Describe(self.own.clone());
            let _ = self.host.submit(action).await;
        }
    }

    fn stored_info(&self) -> Option<commands::MemberInfo> {
        let machine = self.host.log.shared.read();
        machine.members().get(&self.own.name).cloned()
    }

    /// Asks each other host in turn to add this one. Only the leader can; the others name it.
    async fn join(&mut self) {
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
            let pending = self
                .network
                .send_request(&name, messages::Body::Submit(submit.clone()));
            let response = tokio::select! {
                response = pending => response,
                () = self.host.clock.sleep(host::CONFIRM_INTERVAL) => None,
            };
            if let Some(messages::Body::Submitted(submitted)) = response {
                let result = commands::CommandResult::decode(submitted.result);
                tracing::info!(peer = name, ?result, "requested to join the group");
                return;
            }
            if let Some(messages::Body::Redirect(redirect)) = response
                && let Ok(address) = redirect.address.parse()
            {
                self.reported_leader = Some((redirect.name, address));
            }
        }
    }
}

/// Creates the record of this host for the replicated state.
pub(crate) fn member_info(
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
