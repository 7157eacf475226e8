use thiserror::Error;
use types::Urgency;

const MAX_SUM_PERCENT: u8 = 50;
const DEFAULT_NORMAL_PERCENT: u8 = 10;
const DEFAULT_BACKGROUND_PERCENT: u8 = 5;

types::plain! {
    /// Minimum percentage of a team's slot time that each urgency class receives while more
    /// urgent work of the same team waits.
    #[derive(Copy, Eq)]
    pub struct ClassFloors {
        normal_percent: u8,
        background_percent: u8,
    }
}

/// Error for floors that leave too little slot time to the urgent class.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("floors add up to {sum_percent} percent, more than {MAX_SUM_PERCENT}")]
pub struct ClassFloorsError {
    sum_percent: u16,
}

impl ClassFloors {
    /// Creates floors in percent of the team's slot time.
    ///
    /// # Errors
    ///
    /// Fails if the floors add up to more than 50 percent.
    pub fn new(normal_percent: u8, background_percent: u8) -> Result<Self, ClassFloorsError> {
        let sum_percent = u16::from(normal_percent) + u16::from(background_percent);
        if sum_percent > u16::from(MAX_SUM_PERCENT) {
            return Err(ClassFloorsError { sum_percent });
        }
        Ok(Self { normal_percent, background_percent })
    }

    /// Returns the floor of a class in percent; 0 for the urgent class, which needs none.
    pub fn percent(self, urgency: Urgency) -> u8 {
        match urgency {
            Urgency::Urgent => 0,
            Urgency::Normal => self.normal_percent,
            Urgency::Background => self.background_percent,
        }
    }
}

impl Default for ClassFloors {
    fn default() -> Self {
        Self {
            normal_percent: DEFAULT_NORMAL_PERCENT,
            background_percent: DEFAULT_BACKGROUND_PERCENT,
        }
    }
}
