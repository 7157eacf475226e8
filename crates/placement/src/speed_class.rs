types::identifier! {
    /// Speed on a logarithmic scale, with 8 classes for each factor of 2, from 1/16 to almost 16.
    pub(crate) struct SpeedClass(u8);
}

/// Number of classes for each factor of 2.
const CLASSES_PER_OCTAVE: usize = 8;

/// Binary logarithm of the slowest speed.
const SLOWEST_OCTAVE: f64 = -4.0;

/// Powers of 2 with the exponents 0/8 to 7/8.
const FRACTIONS: [f64; CLASSES_PER_OCTAVE] = [
    1.0,
    1.090_507_732_665_257_7,
    1.189_207_115_002_721,
    1.296_839_554_651_009_6,
    std::f64::consts::SQRT_2,
    1.542_210_825_407_940_7,
    1.681_792_830_507_429,
    1.834_008_086_409_342_4,
];

const SPEEDS: [f64; SpeedClass::COUNT] = speeds();

const fn speeds() -> [f64; SpeedClass::COUNT] {
    let mut speeds = [0.0; SpeedClass::COUNT];
    let mut i = 0;
    while i < SpeedClass::COUNT {
        let octave = (1_u64 << (i / CLASSES_PER_OCTAVE)) as f64;
        speeds[i] = octave * FRACTIONS[i % CLASSES_PER_OCTAVE] / 16.0;
        i += 1;
    }
    speeds
}

impl SpeedClass {
    /// Number of classes.
    pub(crate) const COUNT: usize = 64;

    /// Returns the class whose speed is nearest on the logarithmic scale.
    pub(crate) fn nearest(speed: f64) -> Self {
        let number = (speed.log2() - SLOWEST_OCTAVE) * CLASSES_PER_OCTAVE as f64;
        Self(number.round().clamp(0.0, (Self::COUNT - 1) as f64) as u8)
    }

    /// Returns the class of a number, which must be below [`SpeedClass::COUNT`].
    pub(crate) fn from_number(number: u32) -> Self {
        Self(number as u8)
    }

    /// Returns the number of the class; 0 is the slowest.
    pub(crate) fn as_usize(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the nominal speed of the class.
    pub(crate) fn speed(self) -> f64 {
        SPEEDS[self.as_usize()]
    }

    /// Returns the speed as a weight for sampling.
    pub(crate) fn weight(self) -> u64 {
        const WEIGHT_OF_SPEED_1: f64 = 1024.0;
        (self.speed() * WEIGHT_OF_SPEED_1) as u64
    }

    /// Returns the run time in microseconds of a task that takes `work_us` at speed 1.
    pub(crate) fn run_us(self, work_us: f64) -> f64 {
        work_us / self.speed()
    }
}

/// Iterates over the classes whose bits are set in `occupied`, fastest first.
pub(crate) fn fastest_first(mut occupied: u64) -> impl Iterator<Item = SpeedClass> {
    std::iter::from_fn(move || {
        let number = occupied.checked_ilog2()?;
        occupied &= !(1 << number);
        Some(SpeedClass::from_number(number))
    })
}
