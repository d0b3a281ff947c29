//! Placeholder of the `waxwing-quorum` crate; see docs/design.md.
