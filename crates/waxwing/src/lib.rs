//! Placeholder of the `waxwing` crate; see docs/design.md.
