//! Whether a founder with an empty data folder may found a group. A founder that lost its disk
//! must not found a second one beside the first: its hosts would serve old settings again. So a
//! founder asks every listed peer, and founds only when each has said that it knows no group.

use std::time::Duration;

use waxwing_core::clock::Clock;
use waxwing_wire::{links, messages, security};

use crate::options;

/// Pause between rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Rounds between two log lines about peers that don't answer.
const ROUNDS_PER_LINE: u32 = 50;

/// A `FoundingProbe` asks the other control hosts for a group.
pub(crate) struct FoundingProbe<C> {
    pub(crate) peers: Vec<options::PeerOptions>,
    pub(crate) hello: messages::Hello,
    pub(crate) security: security::LinkSecurity,
    pub(crate) clock: C,
}

impl<C: Clock> FoundingProbe<C> {
    /// Waits until every peer has answered; returns whether none of them knows a group.
    pub(crate) async fn may_found(mut self) -> bool {
        let mut round = 0;
        loop {
            let mut silent = Vec::new();
            for peer in std::mem::take(&mut self.peers) {
                match self.ask(&peer).await {
                    Some(true) => {
                        tracing::info!(peer = %peer.name, "a group exists; joining it");
                        return false;
                    }
                    Some(false) => {}
                    None => silent.push(peer),
                }
            }
            if silent.is_empty() {
                return true;
            }
            if round % ROUNDS_PER_LINE == 0 {
                let names: Vec<_> = silent.iter().map(|peer| peer.name.as_str()).collect();
                tracing::info!(?names, "waiting for peers before founding a group");
            }
            round += 1;
            self.peers = silent;
            self.clock.sleep(ROUND_PAUSE).await;
        }
    }

    async fn ask(&self, peer: &options::PeerOptions) -> Option<bool> {
        let options = links::LinkOptions::default();
        let limit = options.connect_limit;
        let opened = links::connect(
            peer.link,
            self.hello.clone(),
            options,
            self.security.clone(),
            self.clock.clone(),
        );
        let mut link = opened.await.ok()?;
        let question = messages::Body::AskGroup(messages::AskGroup {});
        link.sender.send(1, question).await.ok()?;
        let answer = async {
            loop {
                let envelope = link.receiver.recv().await.ok()?;
                if let Some(messages::Body::GroupInfo(info)) = envelope.body {
                    return Some(info.founded);
                }
            }
        };
        let founded = tokio::select! {
            founded = answer => founded,
            () = self.clock.sleep(limit) => None,
        };
        link.sender.close();
        founded
    }
}
