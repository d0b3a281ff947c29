//! Pure decisions of the request path: none of them performs I/O or reads a clock by itself; the
//! time is passed in. `docs/design.md`, section 5, describes the rules.

pub mod accounts;
pub mod admission;
pub mod budget;
pub mod cache;
pub mod choice;
pub mod prefixes;
pub mod queue;
pub mod suspension;
pub mod waiting;
