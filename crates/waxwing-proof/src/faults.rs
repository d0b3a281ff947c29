//! The faults that tests inject.

use std::fmt;

macro_rules! fault_type {
    ({ $($(#[$doc:meta])* $variant:ident = $label:literal,)* }) => {
        /// A fault that the system has to tolerate.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum SystemFault {
            $($(#[$doc])* $variant,)*
        }

        impl SystemFault {
            /// Every fault, in the order of `docs/design.md`, section 14.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the label of the fault in the printed matrix.
            #[must_use]
            pub fn label(self) -> &'static str {
                match self {
                    $(Self::$variant => $label,)*
                }
            }
        }
    };
}

fault_type!({
    /// The entry process is killed.
    EntryKilled = "entry killed",
    /// The agent process is killed.
    AgentKilled = "agent killed",
    /// The process of the control leader is killed.
    LeaderKilled = "control leader killed",
    /// The process of a control follower is killed.
    FollowerKilled = "control follower killed",
    /// The endpoint crashes while its agent keeps running.
    EndpointKilled = "endpoint killed",
    /// The process involved in the step is killed and restarts at once as a new incarnation.
    Restarted = "restarted, new incarnation",
    /// The process is killed, restarts, and is killed again.
    KilledTwice = "killed twice",
    /// A second control host is lost right after the group was repaired.
    LostAfterRepair = "host lost after a repair",
    /// A message is lost.
    MessageLost = "message lost",
    /// A message is delivered twice.
    MessageDuplicated = "message doubled",
    /// Messages are delivered out of order.
    MessageReordered = "message reordered",
    /// A message is delivered long after it was sent.
    MessageDelayed = "message late",
    /// Messages are delivered in one direction only.
    PartitionOneWay = "partition, one way",
    /// No messages are delivered for a long time, and no side gets an error.
    PartitionBothWays = "partition, both ways, long",
    /// An open connection drops all data for good, while new connections work.
    SilentConnection = "open connection silent",
    /// An endpoint becomes slow without reporting it.
    Straggler = "straggler",
    /// Many requests or changes arrive at once.
    Burst = "burst",
    /// The disk is full.
    DiskFull = "disk full",
    /// A crash leaves a record partly written.
    TornWrite = "torn write",
    /// Syncing the log to disk fails.
    FailedSync = "failed sync",
    /// A host comes back with an empty disk.
    WipedDisk = "wiped disk",
    /// The wall clock jumps.
    ClockJump = "clock jump",
    /// The caller disconnects.
    CallerGone = "caller gone",
    /// The caller sends the request again.
    CallerResends = "caller resends",
    /// The caller reads its answer slowly.
    CallerSlow = "caller slow",
    /// Two operators submit changes based on the same version.
    OperatorRace = "operator race",
    /// An operator loses the answer to a change and submits it again.
    OperatorResend = "operator resends",
    /// An order with an outdated fencing number arrives.
    StaleFencing = "stale fencing number",
    /// Every process is restarted, one after the other.
    RollingRestart = "rolling restart of all",
});

impl fmt::Display for SystemFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}
