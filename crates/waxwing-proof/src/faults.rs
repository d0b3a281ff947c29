//! The faults that may strike at any step.

use std::fmt;

macro_rules! fault_type {
    ({ $($(#[$doc:meta])* $variant:ident = $words:literal,)* }) => {
        /// A `SystemFault` is one of the faults that the system has to survive.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum SystemFault {
            $($(#[$doc])* $variant,)*
        }

        impl SystemFault {
            /// Every fault, in the order of `docs/design.md`, section 14.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the fault in words.
            #[must_use]
            pub fn words(self) -> &'static str {
                match self {
                    $(Self::$variant => $words,)*
                }
            }
        }
    };
}

fault_type!({
    /// The entry's process dies.
    EntryKilled = "entry killed",
    /// The agent's process dies.
    AgentKilled = "agent killed",
    /// The leader's process dies.
    LeaderKilled = "control leader killed",
    /// A follower's process dies.
    FollowerKilled = "control follower killed",
    /// The endpoint dies.
    EndpointKilled = "endpoint killed",
    /// The process beside the step dies and comes back at once as a new incarnation.
    Restarted = "restarted, new incarnation",
    /// It dies, comes back and dies again.
    KilledTwice = "killed twice",
    /// A second host is lost right after a repair.
    LostAfterRepair = "host lost after a repair",
    /// A message is lost.
    MessageLost = "message lost",
    /// A message arrives twice.
    MessageDoubled = "message doubled",
    /// Messages overtake each other.
    MessageReordered = "message reordered",
    /// A message arrives long after it was sent.
    MessageLate = "message late",
    /// Messages get through in one direction only.
    PartitionOneWay = "partition, one way",
    /// No messages get through for a long time, unnoticed.
    PartitionBothWays = "partition, both ways, long",
    /// An open connection goes silent for good while new ones work.
    SilentConnection = "open connection silent",
    /// An endpoint becomes slow without saying so.
    Straggler = "straggler",
    /// Many requests or changes arrive at once.
    Burst = "burst",
    /// The disk is full.
    DiskFull = "disk full",
    /// A write is cut in the middle by a crash.
    TornWrite = "torn write",
    /// A sync fails.
    FailedSync = "failed sync",
    /// The disk comes back empty.
    WipedDisk = "wiped disk",
    /// The wall clock jumps.
    ClockJump = "clock jump",
    /// The caller goes away.
    CallerGone = "caller gone",
    /// The caller sends the request again.
    CallerResends = "caller resends",
    /// The caller reads slowly.
    CallerSlow = "caller slow",
    /// Two operators change the same version.
    OperatorRace = "operator race",
    /// An operator resends a change whose answer was lost.
    OperatorResend = "operator resends",
    /// An order with an old fencing number arrives.
    StaleFencing = "stale fencing number",
    /// Every process is restarted, one after the other.
    RollingRestart = "rolling restart of all",
});

impl fmt::Display for SystemFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.words())
    }
}
