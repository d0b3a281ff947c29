//! Placeholder of the `waxwing-proof` crate; see docs/design.md.
