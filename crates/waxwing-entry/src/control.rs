//! What the entry uses of the control plane: settings, their freshness, and claims.

use std::sync::Arc;

use waxwing_client::{clients, freshness};
use waxwing_core::clock;
use waxwing_settings::view;
use waxwing_wire::messages;

use crate::agents;

/// Access to the control plane. A trait, so that the HTTP layer can be tested without control
/// hosts.
pub trait ControlPort: Clone + Send + Sync + 'static {
    /// Returns the current settings. A request gets them once and keeps that version.
    fn settings(&self) -> Arc<view::SettingsView>;

    /// Returns how recently the settings were confirmed.
    fn freshness(&self) -> freshness::SettingsFreshness;

    /// Makes or looks up a claim; `None` if no control host replies.
    fn claim(
        &self,
        key: messages::ClaimKey,
    ) -> impl Future<Output = Option<messages::ClaimResult>> + Send;

    /// Announces that the process accepts no new work.
    fn announce_leaving(&self);
}

impl<C: clock::Clock> ControlPort for clients::ControlClient<C> {
    fn settings(&self) -> Arc<view::SettingsView> {
        Self::settings(self)
    }

    fn freshness(&self) -> freshness::SettingsFreshness {
        Self::freshness(self)
    }

    async fn claim(&self, key: messages::ClaimKey) -> Option<messages::ClaimResult> {
        Self::claim(self, key).await.ok()
    }

    fn announce_leaving(&self) {
        self.announce_leaving();
    }
}

/// Applies each new directory view to the agent table until the client stops.
pub(crate) async fn follow_directory<C: clock::Clock>(
    client: clients::ControlClient<C>,
    agents: Arc<agents::AgentTable<C>>,
) {
    let mut directory = client.watch_directory();
    loop {
        let view = directory.borrow_and_update().clone();
        agents.apply(&view);
        if directory.changed().await.is_err() {
            return;
        }
    }
}
