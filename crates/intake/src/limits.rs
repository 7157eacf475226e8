//! Limits that follow from the memory and the descriptors of a host.

const MIB_BYTES: u64 = 1_048_576;
/// Memory of one connection: buffers of the HTTP library, which has one for reading, of the size of
/// the largest head, one for a frame on its way to the body and one for writing; and the state of the
/// connection and its request, bytes.
pub const CONNECTION_BYTES: u64 = 49_152;
/// Size of the receive buffer that is requested for a connection, bytes.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 16_384;
/// Most bytes that the system holds for a connection until the process reads them. Linux doubles the
/// requested size.
pub const UNREAD_BYTES: u64 = 2 * RECEIVE_BUFFER_BYTES as u64;
/// Part of the connections that may wait to be accepted, beyond the limit: one of this number.
const QUEUE_PART: u64 = 4;
/// Most connections that wait to be accepted. Linux has this limit by default.
const MAX_QUEUE: u64 = 4_096;

types::plain! {
    /// Limits of an intake.
    #[derive(Copy, Eq)]
    pub struct IntakeLimits {
        /// Most bytes of all requests, from their first received byte until their response has been read.
        pub request_bytes: usize,
        /// Most connections.
        pub connections: usize,
        /// Most connections that wait to be accepted.
        pub queue: u32,
    }
}

impl IntakeLimits {
    /// Returns the limits for a listener that is open to clients. Requests get a quarter of the memory
    /// of the host, connections three eighths, with the bytes that the system holds for them; they get
    /// half of the descriptors.
    pub fn for_host(memory_mb: u64, max_descriptors: u64) -> Self {
        let memory_bytes = memory_mb.saturating_mul(MIB_BYTES);
        // Connections that are being closed exceed the limit by an eighth at most.
        let per_connection = (CONNECTION_BYTES + UNREAD_BYTES) * 9 / 8 + UNREAD_BYTES / QUEUE_PART;
        let by_memory = memory_bytes / 8 * 3 / per_connection;
        let connections = by_memory.min(max_descriptors / 2);
        let queue = (connections / QUEUE_PART).clamp(1, MAX_QUEUE);
        Self {
            request_bytes: usize::try_from(memory_bytes / 4).unwrap_or(usize::MAX),
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            queue: u32::try_from(queue).unwrap_or(u32::MAX),
        }
    }

    /// Returns the limits for a listener that a few processes use: operators, the collector of metrics,
    /// probes, or the upstream on the same machine. `request_bytes` is for all bodies together.
    pub const fn internal(request_bytes: usize) -> Self {
        Self { request_bytes, connections: 64, queue: 16 }
    }
}
