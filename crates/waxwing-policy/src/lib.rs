//! Placeholder of the `waxwing-policy` crate; see docs/design.md.
