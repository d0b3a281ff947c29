//! Decides whether the initial host may create a group when its data folder is empty. If that host
//! has lost its disk, it must not create a second group next to the first, because the second group
//! would serve the first settings instead of the current ones. So it asks every configured peer and
//! creates the group only when each has answered that it belongs to none.

use std::time::Duration;

use waxwing_core::clock::Clock;
use waxwing_wire::{links, messages, security};

use crate::options;

/// Pause between two rounds of requests to the peers.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Number of rounds between two log lines about peers that haven't answered.
const ROUNDS_PER_LOG_LINE: u32 = 50;

/// Asks the other control hosts whether they belong to a group.
pub(crate) struct GroupProbe<C> {
    pub(crate) peers: Vec<options::PeerOptions>,
    pub(crate) hello: messages::Hello,
    pub(crate) security: security::LinkSecurity,
    pub(crate) clock: C,
}

impl<C: Clock> GroupProbe<C> {
    /// Returns `true` once every peer has answered that it belongs to no group, or `false` as soon
    /// as one belongs to a group.
    pub(crate) async fn may_create_group(mut self) -> bool {
        let mut round = 0;
        loop {
            let mut unanswered = Vec::new();
            for peer in std::mem::take(&mut self.peers) {
                match self.has_group(&peer).await {
                    Some(true) => {
                        tracing::info!(peer = %peer.name, "a group exists; joining it");
                        return false;
                    }
                    Some(false) => {}
                    None => unanswered.push(peer),
                }
            }
            if unanswered.is_empty() {
                return true;
            }
            if round % ROUNDS_PER_LOG_LINE == 0 {
                let names: Vec<_> = unanswered.iter().map(|peer| peer.name.as_str()).collect();
                tracing::info!(
                    ?names,
                    "waiting for answers from peers before creating a group"
                );
            }
            round += 1;
            self.peers = unanswered;
            self.clock.sleep(ROUND_PAUSE).await;
        }
    }

    async fn has_group(&self, peer: &options::PeerOptions) -> Option<bool> {
        let options = links::LinkOptions::default();
        let timeout = options.connect_timeout;
        let connecting = links::connect(
            peer.link,
            self.hello.clone(),
            options,
            self.security.clone(),
            self.clock.clone(),
        );
        let mut link = connecting.await.ok()?;
        let request = messages::Body::AskGroup(messages::AskGroup {});
        link.sender.send(1, request).await.ok()?;
        let response = async {
            loop {
                let envelope = link.receiver.recv().await.ok()?;
                if let Some(messages::Body::GroupInfo(info)) = envelope.body {
                    return Some(info.founded);
                }
            }
        };
        let founded = tokio::select! {
            founded = response => founded,
            () = self.clock.sleep(timeout) => None,
        };
        link.sender.close();
        founded
    }
}
