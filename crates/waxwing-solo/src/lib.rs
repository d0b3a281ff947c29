//! Placeholder of the `waxwing-solo` crate; see docs/design.md.
