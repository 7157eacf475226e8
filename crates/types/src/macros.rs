/// Derives the common traits of values that are sent between processes or stored:
/// `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize`.
#[macro_export]
macro_rules! wire {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, $crate::serde::Serialize, $crate::serde::Deserialize)]
            #[serde(crate = "types::serde")]
            $item
        )*
    };
}

/// Derives the common traits of values that stay within a process:
/// `Clone`, `Debug` and `PartialEq`.
#[macro_export]
macro_rules! plain {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}

/// Derives the common traits of values that are read from settings files and patches;
/// unknown keys are errors.
#[macro_export]
macro_rules! settings {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, $crate::serde::Serialize, $crate::serde::Deserialize)]
            #[serde(crate = "types::serde", deny_unknown_fields)]
            $item
        )*
    };
}

/// Derives the common traits of small identifiers: those of [`wire!`], `Copy`, ordering
/// and hashing.
#[macro_export]
macro_rules! identifier {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                $crate::serde::Serialize, $crate::serde::Deserialize,
            )]
            #[serde(crate = "types::serde")]
            $item
        )*
    };
}

/// Expands to one `#[test]` for each named case, so that a failed test names its case.
///
/// ```
/// types::cases! {
///     fn doubled(input: u32, expected: u32) { assert_eq!(input * 2, expected); }
///     zero: (0, 0),
///     three: (3, 6),
/// }
/// ```
#[macro_export]
macro_rules! cases {
    (
        fn $check:ident($($arg:ident: $ty:ty),* $(,)?) $body:block
        $($name:ident: ($($value:expr),* $(,)?)),+ $(,)?
    ) => {
        fn $check($($arg: $ty),*) $body

        $(
            #[test]
            fn $name() {
                $check($($value),*);
            }
        )+
    };
}
