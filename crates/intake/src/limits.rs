//! Limits that follow from the memory and the descriptors of a host.

const MIB_BYTES: u64 = 1_048_576;
/// Memory of one connection: its read buffer, which has 16 KiB by default, the head of a request and
/// the state of the connection, bytes.
const CONNECTION_BYTES: u64 = 32_768;
/// Connections that wait to be accepted.
const QUEUE: u32 = 1_024;

types::plain! {
    /// Limits of an intake.
    #[derive(Copy, Eq)]
    pub struct IntakeLimits {
        /// Most bytes of all requests, from their first received byte until their response.
        pub request_bytes: usize,
        /// Most connections.
        pub connections: usize,
        /// Most connections that wait to be accepted.
        pub queue: u32,
    }
}

impl IntakeLimits {
    /// Returns the limits for a listener that is open to clients. Requests get a quarter of the memory of
    /// the host, and connections another one; they get half of the descriptors.
    pub fn for_host(memory_mb: u64, max_descriptors: u64) -> Self {
        let part_bytes = memory_mb.saturating_mul(MIB_BYTES) / 4;
        let connections = (part_bytes / CONNECTION_BYTES).min(max_descriptors / 2);
        Self {
            request_bytes: usize::try_from(part_bytes).unwrap_or(usize::MAX),
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            queue: QUEUE,
        }
    }

    /// Returns the limits for a listener that a few processes use: operators, the collector of metrics,
    /// probes, or the upstream on the same machine. `request_bytes` is for all bodies together.
    pub const fn internal(request_bytes: usize) -> Self {
        Self { request_bytes, connections: 64, queue: 16 }
    }
}
