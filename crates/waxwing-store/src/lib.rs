//! Placeholder of the `waxwing-store` crate; see docs/design.md.
