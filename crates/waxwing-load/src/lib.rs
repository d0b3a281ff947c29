//! Placeholder of the `waxwing-load` crate; see docs/design.md.
