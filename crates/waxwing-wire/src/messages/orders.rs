//! Engine orders and their fencing numbers.

use prost::{Enumeration, Message};

/// An `AskFencing` asks for the highest fencing number before the first order after a restart.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AskFencing {}

/// A `Fencing` tells the highest fencing number of the agreed state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Fencing {
    /// The number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// An `OrderKind` is what an engine is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum OrderKind {
    /// Not given; never valid.
    Unspecified = 0,
    /// Load a model.
    LoadModel = 1,
    /// Unload a model.
    UnloadModel = 2,
    /// Load an adapter.
    LoadAdapter = 3,
    /// Change the endpoint role.
    ChangeRole = 4,
    /// Stop taking new work.
    Drain = 5,
    /// Take new work again.
    Undrain = 6,
}

/// An `Order` is an engine order of the rightful decider.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Order {
    /// The fencing number of the decider.
    #[prost(uint64, tag = "1")]
    pub fencing: u64,
    /// Names the order, so that a resend is recognised.
    #[prost(uint64, tag = "2")]
    pub order: u64,
    /// What to do.
    #[prost(enumeration = "OrderKind", tag = "3")]
    pub kind: i32,
    /// The model, adapter or role.
    #[prost(string, tag = "4")]
    pub target: String,
    /// The version of the model or adapter.
    #[prost(string, tag = "5")]
    pub target_version: String,
}

/// A `RelayOrder` carries an engine order to the control host that has the agent's link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayOrder {
    /// The name of the agent.
    #[prost(string, tag = "1")]
    pub agent: String,
    /// The order.
    #[prost(message, optional, tag = "2")]
    pub order: Option<Order>,
}

/// A `RelayResult` carries the result of an order to the decider's host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayResult {
    /// The name of the agent.
    #[prost(string, tag = "1")]
    pub agent: String,
    /// The result.
    #[prost(message, optional, tag = "2")]
    pub result: Option<OrderResult>,
}

/// An `OrderResult` answers an `Order`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OrderResult {
    /// The order.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// Whether it is done.
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// Whether it was refused for an old fencing number.
    #[prost(bool, tag = "3")]
    pub fenced: bool,
    /// Why it failed, in one sentence.
    #[prost(string, tag = "4")]
    pub detail: String,
}
