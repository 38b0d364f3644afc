// Messages between jujubeslip processes.
//
// Two hosts never compare clocks: a field named remaining_ms is the time left
// until a deadline, and the receiver turns it into an instant of its own clock.

namespace py peers_gen

enum HostStatus {
  ALIVE = 1,
  SUSPECT = 2,
  LEAVING = 3,
  DEAD = 4,
}

enum EndpointRole {
  PREFILL = 1,
  DECODE = 2,
  PLAIN = 3,
}

enum ReserveStatus {
  GRANTED = 1,
  PENDING = 2,
  REFUSED = 3,
}

enum AdmissionStatus {
  // The request has a grant at the engine that is named.
  ADMITTED = 1,
  // It keeps its place in the queue for a while, and is to ask again.
  WAITING = 2,
  // No engine will have room for it in time.
  REFUSED = 3,
  // Its client account has used its limit; it may come back when the forecast is over.
  OVER_LIMIT = 4,
}

enum KeyStatus {
  FIRST = 1,
  RUNNING = 2,
  FINISHED = 3,
  CONFLICT = 4,
}

// Who is on the other end of a connection; sent first on each connection.
struct PeerIdentity {
  1: string host_id,
  2: i64 incarnation,
  3: string secret,
}

// Every refusal between processes: a stable id, a message, what to do about it.
exception PeerRefusal {
  1: string error_id,
  2: string message,
  3: string remedy,
  4: i64 retry_after_ms,
}

// The asked replica does not lead; `leader_address` is empty when unknown.
exception NotLeader {
  1: string leader_id,
  2: string leader_address,
  3: optional i64 leader_term,
}

struct HostState {
  1: string host_id,
  2: i64 incarnation,
  3: string address,
  4: string availability_zone,
  5: HostStatus status,
  6: i64 heartbeat,
  7: i64 configuration_revision,
  8: string region,
}

struct GossipMessage {
  1: string sender_id,
  2: list<HostState> hosts,
  3: i64 configuration_revision,
  // Equal on two hosts that know of the same live hosts; 0 while the sender has
  // missed news and `hosts` is not all that it should tell.
  4: i64 view_digest,
}

// What a host's clients asked for lately of one limit of an account, a second.
struct LimitUsage {
  1: string client,
  2: string kind,
  3: double demand,
  4: double limit,
}

// A host's share of one limit, a second; `shared` is false while there is none.
struct LimitShare {
  1: string client,
  2: string kind,
  3: bool shared,
  4: double rate,
}

struct Announcement {
  1: string endpoint_id,
  2: i64 incarnation,
  3: string address,
  4: string availability_zone,
  5: string service_name,
  6: EndpointRole role,
  7: string model,
  8: i32 slots,
  9: bool leaving,
  10: string place,
}

struct ReserveRequest {
  1: string request_id,
  2: i32 attempt,
  3: string owner,
  4: string service_name,
  5: i32 priority,
  6: i64 first_token_remaining_ms,
  7: i64 wait_remaining_ms,
  8: i32 prompt_tokens,
  9: i32 output_tokens,
  10: list<string> prefix_hashes,
  11: list<string> avoid_endpoint_ids,
  12: string prefill_endpoint_id,
  13: string traceparent,
  // The zone or region whose endpoints serve the request.
  14: string place,
  // A plain service's request needs one slot and no prefill.
  15: bool plain,
}

struct EndpointRef {
  1: string endpoint_id,
  2: i64 incarnation,
  3: string address,
}

struct Grant {
  1: string grant_id,
  2: optional EndpointRef prefill,
  3: EndpointRef decode,
  4: i32 cached_tokens,
}

struct ReserveReply {
  1: ReserveStatus status,
  2: optional Grant grant,
  3: string reason,
  4: i64 retry_after_ms,
  // The home's present forecast, which rules can ask about.
  5: i64 queue_wait_ms,
  6: double load,
}

// What became of a grant, so that its home frees each part as early as it can.
struct GrantProgress {
  1: string grant_id,
  2: bool prefill_finished,
  3: bool transfer_finished,
  4: bool released,
  5: i32 prefill_tokens,
  6: i32 output_tokens,
  7: string failed_endpoint_id,
}

// One thing that an engine holds in memory for an entry process.
struct HeldRequest {
  1: string request_id,
  2: i32 attempt,
  3: string endpoint_id,
}

struct KeyClaim {
  1: string client,
  2: string key,
  3: string request_id,
  4: string owner,
  5: string fingerprint,
}

struct KeyReply {
  1: KeyStatus status,
  2: string request_id,
  3: string owner,
  4: optional binary outcome,
}

struct Configuration {
  1: i64 revision,
  2: string declaration,
  3: string change_id,
  4: string operator_name,
}

// A configuration as entry hosts fetch it. As text, one of thousands of routes would
// fill a slow host's link, and requests wait behind it.
struct PackedConfiguration {
  1: i64 revision,
  // The declaration, compressed by zlib; empty where it is not newer.
  2: binary packed_declaration,
}

struct ApplyRequest {
  1: string change_id,
  2: i64 base_revision,
  3: string declaration,
  4: string operator_name,
}

struct ApplyReply {
  1: bool accepted,
  2: i64 revision,
  3: string winner_change_id,
  4: string winner_operator,
  5: string winner_declaration,
}

struct EntryStatus {
  1: string host_id,
  2: i64 incarnation,
  3: i64 configuration_revision,
  4: i32 open_requests,
  5: bool stopping,
  6: list<HostState> hosts,
  7: list<PoolStatus> pools,
}

struct PoolStatus {
  1: string service_name,
  2: i32 endpoints,
  3: i32 usable_endpoints,
  4: i32 decode_slots,
  5: i32 granted,
  6: i32 queued,
}

// Served by each entry host to the other processes of the system.
service EntryPeer {
  void hello(1: PeerIdentity identity) throws (1: PeerRefusal refusal),
  GossipMessage gossip(1: GossipMessage message) throws (1: PeerRefusal refusal),
  // Whether that host answers the asked one, for a host that it doesn't answer.
  bool reaches(1: string host_id) throws (1: PeerRefusal refusal),
  // A page of the live hosts, in order of their ids; empty behind the last.
  GossipMessage hosts_after(1: string host_id) throws (1: PeerRefusal refusal),
  void announce(1: Announcement announcement) throws (1: PeerRefusal refusal),
  ReserveReply reserve(1: ReserveRequest request) throws (1: PeerRefusal refusal),
  // Takes a waiting request out of the queue, and back what it was granted unheard.
  void withdraw(1: ReserveRequest request) throws (1: PeerRefusal refusal),
  void progress(1: GrantProgress progress) throws (1: PeerRefusal refusal),
  KeyReply claim_key(1: KeyClaim claim) throws (1: PeerRefusal refusal),
  void finish_key(1: KeyClaim claim, 2: binary outcome) throws (1: PeerRefusal refusal),
  // Ends a run without an outcome, so that a resend may run.
  void abandon_key(1: KeyClaim claim) throws (1: PeerRefusal refusal),
  // Which of these requests this process is not serving any more.
  list<HeldRequest> closed_requests(1: i64 incarnation, 2: list<HeldRequest> held)
    throws (1: PeerRefusal refusal),
  Configuration get_configuration(1: i64 known_revision) throws (1: PeerRefusal refusal),
  // To the keeper of the accounts' limits; the answer has the shares for the asker.
  list<LimitShare> report_usage(1: string host_id, 2: list<LimitUsage> usages)
    throws (1: PeerRefusal refusal),
  EntryStatus status() throws (1: PeerRefusal refusal),
  // Ends what a stopping host still serves; returns how many requests that were.
  i32 abandon() throws (1: PeerRefusal refusal),
}

struct ReplicaStatus {
  1: string replica_id,
  2: string address,
  3: bool voter,
  4: i64 match_index,
}

// What is left of a client account's limit at the leader, in the limit's unit.
struct AccountUse {
  1: string account_name,
  // What comes free each second, and what may be used at once beyond that.
  2: double per_second,
  3: double burst,
  // Below 0 where hosts have told more than was left.
  4: double left,
}

struct ControlStatus {
  1: string replica_id,
  2: string leader_id,
  3: i64 term,
  4: i64 commit_index,
  5: i64 applied_index,
  6: i64 configuration_revision,
  7: list<ReplicaStatus> replicas,
  // Empty while the replica can promise; else why it does not.
  8: string failure,
  9: i64 claims,
  10: i64 snapshot_index,
  11: i64 first_index,
  // Of accounts that asked since this host leads.
  12: list<AccountUse> accounts,
}

enum EntryKind {
  NO_OP = 1,
  CONFIGURATION = 2,
  CLAIM = 3,
  FINISH = 4,
  MEMBERSHIP = 5,
  ABANDON = 6,
  VERSIONED_CONFIGURATION = 7,
  ENGINE_ORDER = 8,
  ENGINE_LOADS = 9,
  ENDPOINT_REMOVAL = 10,
}

// One entry of the replicated log. `stamp_ms` is log time: it only grows, and
// only while a leader runs. `payload` is the Thrift form of the kind's struct.
struct LogEntry {
  1: i64 index,
  2: i64 term,
  3: i64 stamp_ms,
  4: EntryKind kind,
  5: binary payload,
}

// Payload of FINISH.
struct FinishCommand {
  1: KeyClaim claim,
  2: optional binary outcome,
}

struct AbandonCommand {
  1: KeyClaim claim,
}

// Payload of VERSIONED_CONFIGURATION, for operators who number their configurations
// themselves: the highest version is in force, and one that is not higher changes
// nothing.
struct VersionedCommand {
  1: i64 version,
  2: string content,
}

// Payload of ENGINE_ORDER: one start of an engine is about to be ordered to a role.
struct EngineOrder {
  1: string start_id,
  2: EndpointRole role,
}

// What requests lately asked of a service's engines, each as a number of engines that
// were busy all the time.
struct EngineLoad {
  1: string service_name,
  // The most that were busy with prompts at a moment of the last seconds.
  2: double busiest_readers,
  // Busy with prompts, and with answers, in the mean.
  3: double reading,
  4: double answering,
}

// Payload of ENGINE_LOADS: the load of each service that has any, in place of all that
// was told before.
struct EngineLoads {
  1: list<EngineLoad> loads,
}

// What one host knows of an endpoint's latest start. `sequence` grows with each
// announcement of that start; `leaving` stays true once it is true.
struct EndpointRecord {
  1: string endpoint_id,
  2: string service_name,
  3: string address,
  4: string availability_zone,
  5: i64 sequence,
  6: bool leaving,
  7: i32 slots,
  8: EndpointRole role,
  // How long ago the teller heard the endpoint itself, or heard it from others.
  9: i64 silent_ms,
  // For how much longer the endpoint says that it is slow after its start.
  10: i64 cold_remaining_ms,
  // When it started, in milliseconds of its own clock since 1970; 0 if it doesn't say.
  11: i64 started_at_ms,
  // Whether an earlier start under the same id is known.
  12: bool restarted,
  // How long ago a removal of the id came that did not say which start it was for.
  13: optional i64 removed_ago_ms,
}

// Which starts of an endpoint a removal is for.
enum RemovalScope {
  // It names none, and none was known: it may be for any.
  ANY_START = 1,
  // It names none; the start is the one that was known, which had no earlier one.
  ONLY_START = 2,
  // The same, but the removal may be a late one of an earlier start.
  LATEST_START = 3,
  // The start said so itself, or the removal names it.
  NAMED_START = 4,
}

// A removal of an endpoint; also the payload of ENDPOINT_REMOVAL, whose age follows from
// its log time.
struct EndpointRemoval {
  1: string endpoint_id,
  // The start that it is for, 0 where that is not known or the endpoint tells none.
  2: i64 started_at_ms,
  3: i64 removed_ago_ms,
  // Absent in what an earlier version tells: a start is named there unless it is 0.
  4: optional RemovalScope scope,
}

// What one entry host met at the engines of a service in the last seconds.
struct ServicePressure {
  1: string service_name,
  // Requests that waited for room, or found none.
  2: i32 waited,
  // Milliseconds that engines took to read prompts, a second.
  3: i32 prompt_ms_per_second,
}

// Asks the leader for a grant at an engine that answers.
struct AdmissionRequest {
  1: string request_id,
  2: string service_name,
  3: i32 prompt_tokens,
  // Events that its answer has at most, and the tokens of one.
  4: i32 maximum_events,
  5: i32 event_tokens,
  // How many events the client expects, 0 where it doesn't say.
  6: i32 expected_events,
  // Requests that an engine works on at a time.
  7: i32 slots,
  // Until when the first event is in time, and until when the request waits.
  8: i64 target_remaining_ms,
  9: i64 limit_remaining_ms,
  // How long this call may wait. The request keeps its place for the next call.
  10: i32 wait_ms,
  // Starts of engines that have refused it, or don't answer its host.
  11: list<string> avoided_start_ids,
  // Its prompt was read by another engine and lost: the one that answers reads it.
  12: bool reads_itself,
  // Grows with each grant that the request needs; asked again, a call changes nothing.
  13: i32 attempt,
  14: string availability_zone,
  // Longest pause between two events of an answer that is still in time.
  15: i32 maximum_gap_ms,
  // The client account that asks, and what the request counts against its limit;
  // empty where it has no limit, or was charged before.
  16: string account_name,
  17: double account_cost,
  // Priority among the requests of the service, 0 is the highest.
  18: optional i32 priority,
  // The client account among which engines are shared; empty where there is none.
  19: optional string sharing_account,
}

struct AdmissionReply {
  1: AdmissionStatus status,
  // The start of the engine that answers.
  2: string start_id,
  // How long the request was expected to wait, when it was asked for first.
  3: i32 forecast_ms,
  // The start of the one that reads the prompt; empty where the answering one does.
  4: string reader_start_id,
  // How long that should take.
  5: i32 read_ms,
}

// What a host let an account spend, in the limit's unit; below 0 it gives back.
// A host's parts of all limits, lent to the pool of one control host.
struct PoolLoan {
  // Higher with each loan of the host.
  1: i64 loan_id,
  // For how long they have been lent, by the host's clock.
  2: i64 lent_ms,
  // Whether only its part of the rate is lent: the others may be in another pool.
  3: bool rate_only,
}

struct AccountSpending {
  1: string account_name,
  2: double amount,
  // Names a charge that is sent again where its answer was late; it counts once.
  3: optional string charge_id,
  // Where a host without a leader charges a pool: since when it lends its parts there.
  4: optional PoolLoan loan,
  // 0 is the highest.
  5: optional i32 priority,
}

struct AccountState {
  1: string account_name,
  // When the account may spend again; 0 where it may now.
  2: double wait_seconds,
  // Whether hosts are to ask before each of its requests.
  3: bool near_limit,
}

// A request that a host is about to send to an endpoint which has named a limit.
struct EndpointSpending {
  1: string start_id,
  2: double amount,
  // The limit as the host knows it, in requests a second; 0 where it was lifted.
  3: double per_second,
  4: i64 named_ago_ms,
}

struct EndpointLimitState {
  1: string start_id,
  // The limit as the leader knows it; 0 where it was lifted.
  2: double per_second,
  3: i64 named_ago_ms,
  // When the host may ask again; 0 where the request may be sent now.
  4: double wait_seconds,
}

enum AdmissionStep {
  // The prompt was read, or will not be read where it was to be.
  PROMPT_READ = 1,
  // The request has ended, or was not sent to its engine.
  ENDED = 2,
}

struct AdmissionNews {
  1: string request_id,
  2: i32 attempt,
  3: AdmissionStep step,
}

// The end of an endpoint's start while it ran a request.
struct RequestCrash {
  1: string start_id,
  // How long ago the request was sent there, and how long ago the start ended.
  2: i64 sent_ago_ms,
  3: i64 crashed_ago_ms,
  // Whether an event of an answer to such a request had come from there.
  4: optional bool answered,
  // The fingerprint of the content that ran, and the service of the endpoint.
  5: optional string content,
  6: optional string service_name,
}

// The crashes during requests of one content, since it was answered whole, or during
// requests whose prompts share one part: then their contents are other fingerprints.
struct CrashRecord {
  1: string fingerprint,
  2: list<RequestCrash> crashes,
  // How long ago a request of it was answered whole, or its quarantine lifted.
  3: optional i64 cleared_ago_ms,
  // How long ago a request without this part was answered whole by the same service.
  4: optional i64 others_ran_ago_ms,
  // Parts that have the same crashes: only prompts with all of them are held back.
  5: optional list<string> companions,
}

// An entry host that relays requests to endpoints for hosts that reach none themselves.
struct RelayRecord {
  1: string host_id,
  2: string address,
  3: string availability_zone,
}

// What an entry host has seen within the latest seconds of a start of a plain endpoint
// that looks slow or failing to it, or is listed.
struct AnswerTimesRecord {
  1: string start_id,
  // Median time of its answers, and the one from which on they are slow at this host.
  2: i32 answer_ms,
  3: i32 slow_from_ms,
  4: i32 answers,
  // How many of the answers failed.
  5: i32 failures,
}

// A start that many entry hosts find slow or failing.
struct SlowEndpointRecord {
  1: string start_id,
  // Median over the hosts, 0 if it is not slow.
  2: i32 answer_ms,
  3: i32 failed_percent,
}

// Asks a control host for what is new there since `known_version` of its book.
// `book_id` names the start of the control host that the version belongs to.
struct WatchRequest {
  1: i64 book_id,
  2: i64 known_version,
  3: i32 wait_ms,
  // Entry hosts are counted: they share what a limit leaves.
  4: bool is_entry_host,
  5: string watcher_id,
  // The version that the host told of last, whether the watcher has it yet or not.
  6: i64 known_configuration_version,
  7: list<ServicePressure> pressures,
  // The version of the host's crash histories that the watcher has, and what is new in
  // the watcher's own.
  8: i64 known_crash_version,
  9: list<CrashRecord> crashes,
  // The leader that the host told of last; without them only a change during the wait
  // is news.
  10: optional string known_leader_address,
  11: optional i64 known_leader_term,
  // The entry host that asks, while it relays requests.
  12: optional RelayRecord relay,
  // The version of the list of relays that the watcher has.
  13: optional i64 known_relay_version,
  // Starts that look slow or failing to an entry host.
  14: optional list<AnswerTimesRecord> answer_times,
}

struct WatchReply {
  1: i64 book_id,
  2: i64 version,
  3: list<EndpointRecord> endpoints,
  4: i64 configuration_version,
  // Peer addresses of the control hosts that the teller knows.
  5: list<string> control_addresses,
  6: i32 entry_hosts,
  // Peer address of the control host that leads, empty while the teller knows none.
  7: string leader_address,
  // An entry host is told of crash histories that are suspect and of a few others, a
  // control host of all.
  8: i64 crash_version,
  9: list<CrashRecord> crashes,
  // Control hosts are told of removals, also of endpoints that are not known yet.
  10: list<EndpointRemoval> removals,
  // The term in which that host leads.
  11: optional i64 leader_term,
  // Some other entry hosts that relay requests, if the watcher has another version.
  12: optional i64 relay_version,
  13: optional list<RelayRecord> relays,
  // All starts that many entry hosts find slow or failing; only entry hosts are told.
  14: optional list<SlowEndpointRecord> slow_endpoints,
}

// `replica_id` is HOST/DISK: a host that lost its disk is another replica.
struct Member {
  1: string replica_id,
  2: string host_id,
  3: string address,
  4: bool voter,
}

// Payload of MEMBERSHIP. An admitted host may join, but has not done so yet. An entry
// that repeats the membership before it tells that this one is committed.
struct Membership {
  1: string cluster_id,
  2: list<Member> members,
  3: list<string> admitted_host_ids,
  // Voters of the membership before whose disks are lost: they count for no majority of
  // that one.
  4: optional list<string> lost_replica_ids,
}

// Which replica a data folder belongs to; written once, before anything else.
struct ReplicaIdentity {
  1: string host_id,
  2: string disk_id,
}

// The promises of a replica outside its log.
struct ReplicaMetadata {
  1: string cluster_id,
  2: i64 term,
  3: string voted_for,
}

// What is durable for sure in a log segment; written after the sync.
struct SyncedMark {
  1: i64 first_index,
  2: i64 length,
}

struct SnapshotHeader {
  1: i64 last_index,
  2: i64 last_term,
  3: i64 stamp_ms,
  4: Membership membership,
}

// A change that was answered: the reply that its resend gets again.
struct ChangeRecord {
  1: string change_id,
  2: binary digest,
  3: bool accepted,
  4: i64 revision,
}

struct ClaimRecord {
  1: binary digest,
  2: string request_id,
  3: string owner,
  4: binary fingerprint,
  5: i64 stamp_ms,
  6: bool finished,
  7: optional binary outcome,
  8: i64 outcome_number,
  9: bool abandoned,
}

struct EngineOrderRecord {
  1: EngineOrder order,
  2: i64 stamp_ms,
}

struct EndpointRemovalRecord {
  1: EndpointRemoval removal,
  2: i64 stamp_ms,
}

// One part of a snapshot file; the last part has `end` set. Parts that an earlier
// version wrote have no orders, loads or removals.
struct SnapshotPart {
  1: list<Configuration> configurations,
  2: list<ChangeRecord> changes,
  3: list<ClaimRecord> claims,
  4: bool end,
  5: optional list<EngineOrderRecord> orders,
  6: optional list<EngineLoad> loads,
  // Log time of the first entry about engines.
  7: optional i64 engines_since_ms,
  8: optional list<EndpointRemovalRecord> removals,
}

// What a replica is, asked by one that has no cluster yet.
struct ReplicaDescription {
  1: string replica_id,
  2: string host_id,
  3: string address,
  4: string cluster_id,
}

struct VoteRequest {
  1: string cluster_id,
  2: string target_id,
  3: string candidate_id,
  4: i64 term,
  5: i64 last_index,
  6: i64 last_term,
  // The leader gave up its lease and asked for this election.
  7: bool transfer,
  // The voter's start, as it told in a pre-vote, where all voters told one: no lease
  // lasts, since none of them leads or has heard a leader since it started.
  8: optional i64 fresh_start,
}

struct VoteReply {
  1: i64 term,
  2: bool granted,
  // In a pre-vote: the voter's start, if it would vote but for a leader that it may
  // have answered before that.
  3: optional i64 fresh_start,
}

struct AppendRequest {
  1: string cluster_id,
  2: string target_id,
  3: string leader_id,
  4: string leader_address,
  5: i64 term,
  6: i64 previous_index,
  7: i64 previous_term,
  8: list<LogEntry> entries,
  9: i64 commit_index,
}

// When not accepted, `match_index` is where the leader should try next.
struct AppendReply {
  1: i64 term,
  2: bool accepted,
  3: i64 match_index,
}

// A piece of a snapshot file; an empty one asks where to resume.
struct SnapshotPiece {
  1: string cluster_id,
  2: string target_id,
  3: string leader_id,
  4: string leader_address,
  5: i64 term,
  6: i64 last_index,
  7: i64 last_term,
  8: string checksum,
  9: i64 total_bytes,
  10: i64 offset,
  11: binary data,
}

struct SnapshotReply {
  1: i64 term,
  2: i64 next_offset,
  3: bool installed,
}

struct LeaderSilence {
  1: string replica_id,
  // Absent where it leads, or may still prolong a leader's lease.
  2: optional i64 silent_ms,
}

// Served by each control host to entry hosts and operators.
service ControlPeer {
  void hello(1: PeerIdentity identity) throws (1: PeerRefusal refusal),
  // Answers at once when the revision is newer than known_revision, else when a
  // newer one is committed or wait_ms has passed. Any replica answers what it has
  // applied; with a negative known_revision only the leader answers, with the newest.
  Configuration get_configuration(1: i64 known_revision, 2: i32 wait_ms)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // What this replica has applied, if that is newer than known_revision.
  PackedConfiguration get_packed_configuration(1: i64 known_revision)
    throws (1: PeerRefusal refusal),
  ApplyReply apply_configuration(1: ApplyRequest request)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Durable claim of (client, key); committed by a quorum before the answer.
  KeyReply claim_key(1: KeyClaim claim, 2: i64 remaining_ms)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  void finish_key(1: KeyClaim claim, 2: binary outcome, 3: i64 remaining_ms)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Frees a claim whose request surely did not run; others are left alone.
  void abandon_key(1: KeyClaim claim, 2: i64 remaining_ms)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Answers once the version is committed, or a higher one already was; returns the
  // version in force then.
  i64 put_version(1: VersionedCommand command, 2: i64 remaining_ms)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Answers once the removal is in the log of a majority; the same one may be sent again.
  void record_removal(1: EndpointRemoval removal, 2: i64 remaining_ms)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Answers when the host's book of endpoints or its configuration is newer than
  // what is known, or wait_ms has passed. Asking again tells it that the answer
  // before has arrived.
  WatchReply watch(1: WatchRequest request) throws (1: PeerRefusal refusal),
  // Answers once the request has a grant, will get none, or wait_ms has passed.
  AdmissionReply admit(1: AdmissionRequest request)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // How far requests with grants have come.
  void tell_admissions(1: list<AdmissionNews> news)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Charges a request before it runs, if its account's limit allows it.
  AccountState charge_account(1: AccountSpending spending)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Takes what hosts have let run; only a charge before that can refuse it.
  list<AccountState> settle_accounts(1: list<AccountSpending> spent)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Lends a host's parts to the pool of those that find no leader, and charges a request
  // there; without an amount it only lends. Any control host answers.
  bool charge_alone(1: string host_id, 2: i32 entry_hosts, 3: AccountSpending spending)
    throws (1: PeerRefusal refusal),
  // Charges a request before it is sent, if the limit that its endpoint has named
  // allows it.
  EndpointLimitState charge_endpoint(1: EndpointSpending spending)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // Does for the limits of endpoints what charge_alone does for those of accounts.
  bool charge_endpoint_alone(1: string host_id, 2: i32 entry_hosts,
    3: EndpointSpending spending) throws (1: PeerRefusal refusal),
  // Tells of crashes that `teller` has just seen; watches tell them, too, but later.
  void tell_crashes(1: string teller, 2: list<CrashRecord> crashes)
    throws (1: PeerRefusal refusal),
  // The contents that are held back, as this host knows them; any one answers.
  list<CrashRecord> quarantined() throws (1: PeerRefusal refusal),
  // Lets a content run again; false where no crash of it is known.
  bool lift_quarantine(1: string fingerprint) throws (1: PeerRefusal refusal),
  list<Configuration> history(1: i32 limit) throws (1: PeerRefusal refusal),
  ControlStatus status() throws (1: PeerRefusal refusal),

  // Between replicas.
  ReplicaDescription describe() throws (1: PeerRefusal refusal),
  VoteReply pre_vote(1: VoteRequest request) throws (1: PeerRefusal refusal),
  VoteReply request_vote(1: VoteRequest request) throws (1: PeerRefusal refusal),
  AppendReply append_entries(1: AppendRequest request)
    throws (1: PeerRefusal refusal),
  SnapshotReply install_snapshot(1: SnapshotPiece piece)
    throws (1: PeerRefusal refusal),
  void start_election(1: string target_id, 2: i64 term)
    throws (1: PeerRefusal refusal),
  void join(1: ReplicaDescription replica)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  // For how long this replica has acknowledged no leader, beyond any leader's lease.
  LeaderSilence leader_silence() throws (1: PeerRefusal refusal),

  // From a replica that is about to stop: removes it if the others are enough.
  void leave(1: string replica_id)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),

  // From operators: one change of the replicas at a time.
  void add_replica(1: string host_id, 2: i64 remaining_ms)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
  void remove_replica(1: string host_id, 2: i64 remaining_ms)
    throws (1: PeerRefusal refusal, 2: NotLeader not_leader),
}
