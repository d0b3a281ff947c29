//! Engine orders, which change what an engine serves, and the fencing numbers that protect it from
//! outdated orders.

use prost::{Enumeration, Message};

/// Asks for the highest fencing number. An agent sends it before it carries out the first order
/// after its restart.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AskFencing {}

/// The response to an [`AskFencing`]: the highest fencing number in the replicated state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Fencing {
    /// The number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// The action of an order.
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
    /// Stop accepting new work.
    Drain = 5,
    /// Accept new work again.
    Undrain = 6,
}

/// An order to an engine, issued by the placement controller: the part of a control host that
/// places models. Only the one with the newest fencing number may issue orders.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Order {
    /// The fencing number of the placement controller; agents refuse numbers below the highest one
    /// they know.
    #[prost(uint64, tag = "1")]
    pub fencing: u64,
    /// The id of the order, by which a repeated order is detected.
    #[prost(uint64, tag = "2")]
    pub order: u64,
    /// The action.
    #[prost(enumeration = "OrderKind", tag = "3")]
    pub kind: i32,
    /// The name of the model, adapter or role.
    #[prost(string, tag = "4")]
    pub target: String,
    /// The version of the model or adapter.
    #[prost(string, tag = "5")]
    pub target_version: String,
}

/// Forwards an engine order to the other control hosts; one that the agent is connected to sends
/// it on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayOrder {
    /// The name of the agent.
    #[prost(string, tag = "1")]
    pub agent: String,
    /// The order.
    #[prost(message, optional, tag = "2")]
    pub order: Option<Order>,
}

/// Forwards the result of an order to the other control hosts, on one of which the placement
/// controller may run.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayResult {
    /// The name of the agent.
    #[prost(string, tag = "1")]
    pub agent: String,
    /// The result.
    #[prost(message, optional, tag = "2")]
    pub result: Option<OrderResult>,
}

/// The response to an [`Order`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OrderResult {
    /// The id of the order.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// Whether the order was carried out.
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// Whether it was refused because of an outdated fencing number.
    #[prost(bool, tag = "3")]
    pub fenced: bool,
    /// The reason of the failure, in one sentence.
    #[prost(string, tag = "4")]
    pub detail: String,
}
