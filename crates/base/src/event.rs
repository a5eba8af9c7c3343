//! The numbered log events; docs/EVENTS.md is their catalogue.

/// Writes a log line for a numbered event: `emit!(log, info, JobAccepted; "job" => %job)`.
#[macro_export]
macro_rules! emit {
    ($log:expr, $level:ident, $event:ident $(; $($pairs:tt)+)?) => {
        slog::$level!(
            $log, "{}", $crate::Event::$event.text();
            "event" => $crate::Event::$event.code() $(, $($pairs)+)?
        )
    };
}

/// Declares the events with their numbers and texts.
macro_rules! events {
    ($($name:ident = $code:literal, $text:literal;)*) => {
        /// An `Event` is a kind of log line with a number that stays the same.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Gets the number of the event.
            pub const fn code(self) -> u16 {
                match self { $(Event::$name => $code,)* }
            }

            /// Gets the text of the event.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    Started = 100, "daemon started";
    Draining = 101, "daemon hands over and finishes what it holds";
    Stopped = 102, "daemon stopped";
    ListenFailed = 103, "listener failed";
    MemberJoined = 110, "membership lease granted";
    MemberLost = 111, "membership lease lost";
    StoreFailed = 112, "key-value service failed a request";
    DivisionChanged = 120, "division of a region changed";
    DivisionTaken = 121, "division of a region written";
    ConfigApplied = 130, "configuration in force";
    ConfigRefused = 131, "configuration refused";
    ConfigStale = 132, "configuration not confirmed; keyed requests are refused";
    PeerUp = 140, "peer connected";
    PeerDown = 141, "peer lost";
    TargetClaimed = 150, "target claimed";
    TargetSilent = 151, "target silent";
    TargetLapsed = 152, "lease of a silent target lapsed";
    TargetFenced = 153, "target refused a term";
    TargetSuspect = 154, "target suspected after failed starts";
    TargetCleared = 155, "target cleared of suspicion";
    TargetLeaving = 156, "target is leaving";
    TargetGone = 157, "target gone from the platform's list";
    JobAccepted = 200, "job accepted";
    JobEnded = 201, "job ended";
    JobCancelled = 202, "job cancelled";
    JobUnplaceable = 203, "job fits no known worker";
    TaskPlaced = 210, "task placed";
    TaskWaiting = 211, "task not placed";
    TaskEnded = 212, "task ended";
    TaskPreempted = 213, "task preempted";
    TaskLost = 214, "task lost with its worker";
    PlacerStarted = 220, "placer of a region started";
    PlacerStopped = 221, "placer of a region stopped";
    LedgerLost = 222, "ledger written by another owner";
    AllowanceMoved = 230, "allowance of a team changed";
    CallRouted = 300, "call routed";
    CallForwarded = 301, "call forwarded to a peer";
    CallRetried = 302, "call sent again";
    CallEnded = 303, "call ended";
    CallRefused = 304, "call refused";
    KeyRefused = 310, "key refused";
    ChangeAccepted = 400, "configuration change accepted";
    ChangeConflict = 401, "configuration change lost a race";
    LeadTaken = 500, "lead of the cell taken";
    LeadLost = 501, "lead of the cell lost";
    LeadSuspended = 502, "lead not confirmed; no orders are sent";
    LeadResumed = 503, "lead confirmed again";
    LeadGiven = 504, "lead of the cell given up";
    LeaderChanged = 505, "leader of the cell changed";
    JobsRead = 510, "jobs read from the store";
    QueueRefuses = 511, "queue takes no new jobs for now";
    GuardRenewed = 512, "guard of the records written anew after a change without an answer";
    RequestRefused = 520, "request refused";
    RequestUnknown = 521, "outcome of a request is unknown";
    StartSent = 530, "start sent";
    StartFailed = 531, "start not confirmed";
    StopSent = 532, "stop sent";
    RunEnded = 533, "run ended";
    AdviceAsked = 540, "advice asked";
    AdviceFailed = 541, "advice not given";
    RecordFailed = 550, "progress not recorded";
    WatchFailed = 551, "watch of the store failed";
    RecordUnread = 552, "record can't be read";
    TargetListed = 560, "target listed";
    TargetLost = 561, "target does not answer";
    LinkUp = 570, "link to the leader opened";
    LinkDown = 571, "link to the leader lost";
    SettingsReloaded = 580, "settings read again";
}
