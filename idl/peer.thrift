// Messages between the instances of one fleet. Carried framed, over TCP.
namespace cpp pollenstream.wire

// What one instance says of itself, or passes on of another.
struct member {
  1: string id,
  2: string place,
  3: string callers,     // IP:PORT
  4: string peers,       // IP:PORT
  5: i64 incarnation,
  6: i64 version,        // raised by the member itself, to refute
  7: i32 phase,          // membership::member_phase
  8: i64 open_requests,
}

struct heartbeat {
  1: member sender,
  2: list<member> changes,      // what changed lately
  3: i64 revision,              // of the configuration in force
  4: string configuration_hash,
  5: bool wants_all,            // the sender has just started
}

struct document {
  1: string name,
  2: string text,
}

struct configuration {
  1: i64 revision,       // 0: nothing newer than was asked for
  2: string head,        // as it stands in the key-value service
  3: list<document> documents,  // those that the asker lacks
}

// A call that only the instance named in its ticket may run.
struct forwarded_call {
  1: string service_id,
  2: string profile_id,
  3: string workspace_id,
  4: string ticket,
  5: string method,
  6: string path,
  7: string content_type,
  8: binary body,
  9: i64 time_left_ms,
}

struct forwarded_reply {
  1: i32 status,         // ports::answer_status
  2: i32 http_status,
  3: string content_type,
  4: binary body,
  5: string reason,
  6: string detail,
}

service peer {
  heartbeat exchange(1: heartbeat mine),
  configuration fetch_configuration(1: i64 newer_than, 2: list<string> known_hashes),
  forwarded_reply call(1: forwarded_call what),
}
