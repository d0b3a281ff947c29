//! What the entry needs of control: settings, their age, and claims.

use std::sync::Arc;

use waxwing_client::{clients, freshness};
use waxwing_core::clock;
use waxwing_settings::view;
use waxwing_wire::messages;

use crate::agents;

/// A `ControlPort` is the way to the control hosts. It is an interface, so that the edge is tested
/// without any.
pub trait ControlPort: Clone + Send + Sync + 'static {
    /// Returns the settings in force; a request takes them once and keeps them.
    fn settings(&self) -> Arc<view::SettingsView>;

    /// Tells how old the confirmation of the settings is.
    fn freshness(&self) -> freshness::SettingsFreshness;

    /// Claims a key or looks a claim up; `None` if no control host answers.
    fn claim(
        &self,
        key: messages::ClaimKey,
    ) -> impl Future<Output = Option<messages::ClaimResult>> + Send;

    /// Says that the process takes no new work.
    fn leave(&self);
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

    fn leave(&self) {
        self.set_leaving();
    }
}

/// Passes each view of the directory to the agent table until the client ends.
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
