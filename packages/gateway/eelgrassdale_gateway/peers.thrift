// Messages between gateways, and from agents to gateways. Heartbeats and notices
// are datagrams; the others are bodies of HTTP answers.

struct ServerLoad {
    1: string server
    2: i32 requests
    3: i32 tokens
}

struct PeerAddress {
    1: string name
    2: string host
    3: i32 port
}

// The revision of the newest change of a kind that a gateway knows.
struct KindRevision {
    1: string kind
    2: i64 revision
    // Era of the store to which the revision belongs; absent in era 0.
    3: optional i64 era
}

// Requests that wait at gateways of a data centre for a service with autoscaling.
struct WaitingCount {
    1: string service_name
    2: string data_centre
    3: i32 requests
}

struct Heartbeat {
    1: string name
    2: i64 incarnation
    3: i64 sequence
    4: bool is_leaving
    5: string caller_host
    6: i32 caller_port
    7: string data_centre
    8: string region
    9: list<ServerLoad> loads
    10: list<PeerAddress> known
    11: list<KindRevision> revisions
    // Keys of the live gateways of the sender's data centre, in reports to others.
    12: list<i32> live_members
    // Absent while nothing waits, and where no service has autoscaling.
    13: optional list<WaitingCount> waiting
}

// State of an engine, sent to gateways by the agent on its VM. `is_open` is false
// while the engine accepts no new requests; `version` is the loaded version.
struct ServerNotice {
    1: string host
    2: i32 port
    3: i64 incarnation
    4: i64 sequence
    5: bool is_open
    6: string model
    7: i32 version
}

// A backend server, named by its incarnation, that ended as an answer to a prompt with
// these parts began.
struct CrashNotice {
    1: string server
    2: list<string> parts
    3: i32 age_ms
    // Set in the pieces of a report: the digest of all its parts.
    4: string digest
}

// An answer to a prompt with this part got beyond its beginning, or to its end.
struct SoundNotice {
    1: string part
    2: i32 age_ms
    3: bool is_complete
}

// Prompts with all of these parts are refused, or no longer if not `is_active`.
struct QuarantineNotice {
    1: list<string> parts
    2: i32 sequence
    3: bool is_active
    4: i32 trial_count
    5: i32 evidence_age_ms
    6: i32 trial_in_ms
}

struct PromptNotice {
    1: list<CrashNotice> crashes
    2: list<SoundNotice> sound_starts
    3: list<QuarantineNotice> quarantines
}

// What a backend server, named by its incarnation, said of itself in a response.
struct ServerAdvisory {
    1: string server
    2: i64 started_at_ms
    3: bool is_leaving
    4: i32 age_ms
    // Set if the entry says whether the server names a limit.
    5: optional bool is_limited
    // Requests a second that it takes from all gateways together, if it is limited.
    6: optional double rate_limit
}

struct AdvisoryNotice {
    1: list<ServerAdvisory> advisories
}

struct AccountCount {
    1: string account
    2: i64 count
}

// Requests that began to run in a window, as the sender counted them since its start.
// Each entry replaces the earlier one of the same sender, incarnation and account.
struct CountsNotice {
    1: string sender
    2: i64 incarnation
    3: i64 window
    4: list<AccountCount> counts
    // Wall clock of the sender, and what it was when the sender began to count.
    5: i64 sent_at_ms
    6: i64 counting_since_ms
}

// A piece of the counts of a window as they are in the store; `account_count` is the
// number of accounts in all pieces.
struct UsageRecordNotice {
    1: i64 window
    2: i32 era
    3: bool is_accepted
    4: i32 account_count
    5: list<AccountCount> counts
}

// Exactly one field is set.
struct DutyNotice {
    1: optional CountsNotice counts
    2: optional UsageRecordNotice record
}

// Exactly one field is set.
struct Datagram {
    1: optional Heartbeat heartbeat
    2: optional ServerNotice notice
    3: optional PromptNotice prompt_notice
    4: optional AdvisoryNotice advisory_notice
    5: optional DutyNotice duty_notice
}

// `spec` and `status` are JSON, as in the platform's store.
struct ObjectRecord {
    1: string name
    2: i64 revision
    3: binary spec
    4: binary status
    5: bool is_deleted
}

// All objects of a kind, or changes of them, up to a revision of the store.
// `changed_at` is the revision of the newest change.
struct ObjectPage {
    1: i64 revision
    2: list<ObjectRecord> records
    3: i64 changed_at
    // Length of an outage of the store that has just ended; absent if there was none.
    4: optional i32 outage_ms
}

struct GatewayEntry {
    1: string name
    2: string host
    3: i32 port
    4: string data_centre
    5: string region
}

struct GatewayList {
    1: list<GatewayEntry> gateways
}
