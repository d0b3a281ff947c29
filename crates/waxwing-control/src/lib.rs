//! Placeholder of the `waxwing-control` crate; see docs/design.md.
