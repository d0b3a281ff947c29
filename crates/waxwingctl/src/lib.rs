//! Placeholder of the `waxwingctl` crate; see docs/design.md.
