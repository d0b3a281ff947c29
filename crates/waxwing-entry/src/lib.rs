//! Placeholder of the `waxwing-entry` crate; see docs/design.md.
