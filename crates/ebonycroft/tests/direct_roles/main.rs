//! The roles for direct jobs as processes of their own, and what they write.

mod blocked_output;
mod decisions;
mod peers;
mod reload;
mod role;
mod templates;
mod way;
