//! Fair queue and admission of one pool of slots.

mod admission;
mod fair_shares;
mod support;
