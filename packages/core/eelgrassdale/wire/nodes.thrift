// Messages between entry nodes and agents. Field numbers are never reused.

// Accompanies every call.
struct Envelope {
  1: string sender,
  2: i64 incarnation,
  3: i32 remaining_ms,      // time left until the deadline of the call
  4: string traceparent,    // W3C trace context, may be empty
  5: i64 generation,        // configuration generation in force at the sender
}

// Free capacity of a backend server; returned with most answers.
struct Headroom {
  1: i32 slots,             // free request slots under the current limit
  2: i32 limit,             // current limit of concurrent requests
  3: i64 memory_bytes,      // free request memory
  4: bool cold,
  5: bool accepting,        // false while loading, leaving or out of service
  6: string model_version,  // loaded model version, empty for plain services
  7: i32 running,
}

struct CallRequest {
  1: string request_id,
  2: i32 attempt,
  3: string service_name,
  4: string account,
  5: i32 priority,
  6: string method,
  7: string path,
  8: map<string, string> headers,
  9: binary body,
  10: i32 prompt_tokens,
  11: i32 max_tokens,
  12: bool idempotent,
  13: string key,           // issued idempotency key, may be empty
  14: string model_version, // required version of a resumed stream, or empty
  15: i64 resume_offset,    // bytes of the answer that the caller already has
  16: i32 window_bytes,     // bytes the agent may buffer for this stream
  17: string resume_text,   // text before resume_offset, empty for a new stream
}

struct SubmitAnswer {
  1: i32 code,
  2: i64 incarnation,
  3: Headroom headroom,
  4: string model_version,
  5: string detail,
}

// Position of one stream. `offset` acknowledges all bytes before it.
struct Cursor {
  1: string request_id,
  2: i32 attempt,
  3: i64 offset,
  4: i32 window_bytes,
}

struct Frame {
  1: string request_id,
  2: i32 attempt,
  3: i64 incarnation,
  4: i64 offset,
  5: binary data,
  6: bool is_last,
  7: i64 total_length,      // valid when `is_last`
  8: string digest,         // xxh3_128 of the whole answer, valid when `is_last`
  9: i32 code,
  10: i32 http_status,      // of a plain service
  11: map<string, string> headers,
  12: string model_version,
}

struct PollAnswer {
  1: i64 incarnation,
  2: list<Frame> frames,
  3: map<string, Headroom> headroom, // by service
}

struct ProbeAnswer {
  1: i64 incarnation,
  2: string name,
  3: string role,
  4: string state,          // starting, ready, leaving
  5: i64 generation,
  6: map<string, Headroom> headroom, // by service, empty at an entry node
  7: string load_state,     // of an agent: empty, fetching, waiting, loading, cold, ready
}

// One catalogue object, or its removal when `body` is empty.
struct ConfigObject {
  1: string name,           // kind/name
  2: string digest,
  3: binary body,           // canonical JSON
}

// Everything a node needs to move from `base` (0 for none) to `generation`.
struct ConfigDelta {
  1: i64 base,
  2: i64 generation,
  3: string head_digest,    // digest over all (name, digest) pairs
  4: list<ConfigObject> changed,
  5: list<string> removed,
  6: i64 members_version,
  7: binary members,        // VM list as JSON in zlib format, empty when unchanged
}

struct CompareRequest {
  1: i64 generation,
  2: string head_digest,
  3: i64 members_version,
}

struct CompareAnswer {
  1: i64 incarnation,
  2: i64 generation,
  3: ConfigDelta delta,     // absent when the caller lacks nothing
  4: i64 members_version,
  5: list<string> dead,     // name@incarnation, declared dead by the receiver itself
}

struct ChunkRequest {
  1: string manifest,       // digest of the manifest
  2: i32 index,
  3: i32 wait_ms,           // how long the read may wait at the holder
  4: bool as_owner,         // the caller regards the receiver as the owner
}

struct ChunkAnswer {
  1: i32 code,
  2: i64 incarnation,
  3: binary data,
  4: string detail,
  5: binary held,           // little-endian bit mask of the chunks held
}

struct ManifestAnswer {
  1: i32 code,
  2: binary manifest,
  3: binary held,           // little-endian bit mask of the chunks held
}

struct NodeStatus {
  1: string name,
  2: i64 incarnation,
  3: string role,
  4: string state,
  5: i64 generation,
  6: map<string, i64> counters,      // totals since start, violations among them
  7: map<string, string> facts,      // load state, model version, slowest peer
}

service NodeService {
  ProbeAnswer probe(1: Envelope envelope),
  // Asks the receiver to probe `address`: a second path to a suspect.
  ProbeAnswer probe_via(1: Envelope envelope, 2: string address),
  CompareAnswer compare(1: Envelope envelope, 2: CompareRequest request),
  // Returns the generation in force at the receiver afterwards.
  i64 push(1: Envelope envelope, 2: ConfigDelta delta),
  NodeStatus status(1: Envelope envelope),
}

service AgentService extends NodeService {
  SubmitAnswer submit(1: Envelope envelope, 2: CallRequest request),
  PollAnswer poll(1: Envelope envelope, 2: list<Cursor> cursors, 3: i32 wait_ms),
  void cancel(1: Envelope envelope, 2: string request_id, 3: i32 attempt),
  ChunkAnswer read_chunk(1: Envelope envelope, 2: ChunkRequest request),
  ManifestAnswer read_manifest(1: Envelope envelope, 2: string manifest),
}
