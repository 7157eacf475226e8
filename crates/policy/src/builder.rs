/// Defines a builder: a struct of settings, each with a default and a consuming setter.
macro_rules! builder {
    (
        $(#[$doc:meta])*
        pub struct $name:ident {
            $($(#[$field_doc:meta])* $field:ident: $ty:ty = $default:expr,)*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct $name {
            $(pub(crate) $field: $ty,)*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl $name {
            $(
                $(#[$field_doc])*
                #[must_use]
                pub fn $field(mut self, $field: $ty) -> Self {
                    self.$field = $field;
                    self
                }
            )*
        }
    };
}

pub(crate) use builder;
