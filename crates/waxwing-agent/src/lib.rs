//! Placeholder of the `waxwing-agent` crate; see docs/design.md.
