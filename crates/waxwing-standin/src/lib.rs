//! Placeholder of the `waxwing-standin` crate; see docs/design.md.
