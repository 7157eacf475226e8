crate::plain! {
    /// A method and path template that an HTTP listener serves.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct Route {
        /// HTTP method in capitals.
        pub method: &'static str,
        /// Path, with parameters in braces.
        pub path: &'static str,
    }
}

impl Route {
    /// Creates a `GET` route, which reads.
    pub const fn get(path: &'static str) -> Self {
        Self { method: "GET", path }
    }

    /// Creates a `POST` route, which submits data or triggers an action.
    pub const fn post(path: &'static str) -> Self {
        Self { method: "POST", path }
    }

    /// Creates a `PATCH` route, which changes a part of a resource.
    pub const fn patch(path: &'static str) -> Self {
        Self { method: "PATCH", path }
    }

    /// Creates a `DELETE` route, which removes or cancels a resource.
    pub const fn delete(path: &'static str) -> Self {
        Self { method: "DELETE", path }
    }
}
