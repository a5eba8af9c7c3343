//! Numbered log events. docs/EVENTS.md lists all of them; a test compares that
//! page with this module.

/// Logs a numbered event: `emit!(log, info, JobAccepted; "job" => %job)`.
#[macro_export]
macro_rules! emit {
    ($log:expr, $level:ident, $event:ident $(; $($pairs:tt)+)?) => {
        slog::$level!(
            $log, "{}", $crate::Event::$event.text();
            "event" => $crate::Event::$event.code() $(, $($pairs)+)?
        )
    };
}

/// Declares [`Event`] from lines of variant, number and message.
macro_rules! events {
    ($($name:ident = $code:literal, $text:literal;)*) => {
        /// Kind of log line, identified by a number that never changes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the number of the event.
            pub const fn code(self) -> u16 {
                match self { $(Event::$name => $code,)* }
            }

            /// Returns the message of the event.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    Started = 100, "daemon started";
    Draining = 101, "daemon draining: handing over and finishing what is in progress";
    Stopped = 102, "daemon stopped";
    ListenerFailed = 103, "listener failed";
    MembershipGranted = 110, "membership lease granted";
    MembershipLost = 111, "membership lease lost";
    StoreRequestFailed = 112, "request to the key-value service failed";
    DivisionChanged = 120, "division of a region changed";
    DivisionWritten = 121, "new division of a region written to the key-value service";
    ConfigApplied = 130, "configuration applied";
    ConfigRejected = 131, "configuration rejected";
    ConfigUnconfirmed = 132, "configuration not confirmed recently; refusing a request for now";
    PeerConnected = 140, "peer connected";
    PeerDisconnected = 141, "peer disconnected";
    TargetClaimed = 150, "target claimed";
    TargetSilent = 151, "no answer from target within the silence timeout";
    TargetLapsed = 152, "lease of a silent target lapsed";
    TargetFenced = 153, "target rejected a request: its term is outdated";
    TargetSuspected = 154, "target suspected after repeated failures";
    TargetCleared = 155, "target no longer suspected";
    TargetLeaving = 156, "target is leaving";
    TargetUnlisted = 157, "target no longer in the platform's list";
    JobAccepted = 200, "job accepted";
    JobEnded = 201, "job ended";
    JobCancelled = 202, "job cancelled";
    JobUnplaceable = 203, "no known worker can run the job";
    TaskPlaced = 210, "task placed";
    TaskWaiting = 211, "task waiting for placement";
    TaskEnded = 212, "task ended";
    TaskPreempted = 213, "task preempted";
    TaskLost = 214, "task lost with its worker";
    PlacerStarted = 220, "placer of a region started";
    PlacerStopped = 221, "placer of a region stopped";
    LedgerLost = 222, "ledger written by another owner";
    AllowanceChanged = 230, "allowance of a team changed";
    CallRouted = 300, "call routed";
    CallForwarded = 301, "call forwarded to a peer";
    CallRetried = 302, "call sent again";
    CallEnded = 303, "call ended";
    CallRefused = 304, "call refused";
    KeyRejected = 310, "key rejected";
    ChangeAccepted = 400, "configuration change accepted";
    ChangeConflict = 401, "configuration change rejected: another change came first";
    LeadAcquired = 500, "leadership of the cell acquired";
    LeadLost = 501, "leadership of the cell lost";
    LeadSuspended = 502, "leadership not confirmed; sending no orders to targets";
    LeadResumed = 503, "leadership confirmed again";
    LeadReleased = 504, "leadership of the cell released";
    LeaderChanged = 505, "leader of the cell changed";
    SuccessorSought = 506, "looking for a successor in the leadership";
    SuccessorReady = 507, "a node is ready to lead";
    JobsLoaded = 510, "jobs loaded from the key-value service";
    QueueOverloaded = 511, "queue overloaded; refusing new jobs";
    GuardRewritten = 512, "guard key of the job records rewritten after a write without an answer";
    RequestRefused = 520, "request refused";
    RequestOutcomeUnknown = 521, "outcome of a caller's request is unknown";
    StartSent = 530, "start sent";
    StartFailed = 531, "start refused or not confirmed";
    StopSent = 532, "stop sent";
    RunEnded = 533, "run ended";
    RunReleased = 534, "run taken for ended without an end listed by its target";
    TargetCrashed = 535, "target crashed under a task";
    TaskFaulty = 536, "task fails on one target after another";
    RunReappeared = 537, "run taken for ended has reappeared";
    AdviceReceived = 540, "advice received";
    AdviceFailed = 541, "advice request failed";
    RecordFailed = 550, "write of records to the key-value service failed";
    WatchFailed = 551, "watch of the key-value service failed";
    RecordUnreadable = 552, "stored record can't be decoded";
    TargetListed = 560, "target listed";
    TargetUnreachable = 561, "target does not answer";
    TargetsUnconfirmed = 562, "list of targets not confirmed recently";
    TargetEntryInvalid = 563, "entry in the list of targets is not valid";
    TargetRestarted = 564, "target answers as another process";
    LeaseExceeded = 565, "target has taken a longer lease than was granted";
    RestartSuspected = 566, "target may have a process that orders were not meant for";
    LinkOpened = 570, "link to the leader opened";
    LinkLost = 571, "link to the leader lost";
    SettingsReloaded = 580, "settings reloaded";
    EvacuationStarted = 601, "evacuation of a data centre in force";
    EvacuationEnded = 602, "evacuation of a data centre ended";
    EvacuationsUnconfirmed = 603, "evacuations not confirmed recently";
    EvacuationRead = 604, "evacuation of a data centre read";
    RecoveryPending = 611, "tasks wait for targets that have not listed their runs";
    ClosedRecorded = 612, "other targets are recorded as closed";
    JobOversized = 621, "stored job has more tasks than are allowed; given up";
    TargetProbed = 622, "suspected target probed";
    SpeedsInherited = 641, "usual speeds of the targets taken over";
    SpeedsRecorded = 642, "usual speeds of the targets recorded";
    SpeedsNotRecorded = 643, "usual speeds of the targets could not be recorded";
    SpeedsUnread = 644, "usual speeds of the targets could not be read";
    PaceSent = 651, "pace of backfill changed beside tasks with a latency goal";
    InterferenceLearnt = 652, "one kind of task found to slow another down";
    ClientsLimited = 661, "clients refused or disconnected for lack of room or time";
    AcceptFailed = 662, "connection not accepted";
}
