const FRACTION_BITS: u32 = 20;

/// A point or span in virtual time: microseconds of slot time divided by a weight, in
/// fixed point.  At 8,000 busy slots it takes more than 10^15 years to overflow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime(u128);

impl VirtualTime {
    /// Returns the span of `slot_us` of slot time at a weight.
    pub(crate) fn span(slot_us: u64, weight: u32) -> Self {
        Self((u128::from(slot_us) << FRACTION_BITS) / u128::from(weight))
    }

    pub(crate) fn plus(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    pub(crate) fn minus(self, span: Self) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}
