//! The numbered result codes, which docs/RESULT-CODES.md lists.

use std::time::Duration;

/// Whether a request was executed, as far as its result code tells.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// This attempt was not accepted and not executed; says nothing about earlier attempts.
    Rejected,
    /// No attempt under this key was executed, and none will be unless the caller sends it again.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The code does not concern the execution of a request.
    Other,
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $exit_code:literal, $outcome:ident, $retry_s:literal, $title:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Code {
            $(#[doc = $title] $name,)*
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the number that identifies the code in answers, logs and documentation.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the HTTP status of responses with this code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the exit code of the command line tool.
            pub fn exit_code(self) -> u8 {
                match self { $(Code::$name => $exit_code,)* }
            }

            /// Returns whether the request was executed, as far as the code tells.
            pub fn outcome(self) -> Outcome {
                match self { $(Code::$name => Outcome::$outcome,)* }
            }

            /// Returns the default retry time; `None` if a retry does not help.
            pub fn retry_after(self) -> Option<Duration> {
                match self { $(Code::$name => ($retry_s > 0).then(|| Duration::from_secs($retry_s)),)* }
            }

            /// Returns the title of the code.
            pub fn title(self) -> &'static str {
                match self { $(Code::$name => $title,)* }
            }
        }
    };
}

codes! {
    MalformedBody = 1001, 400, 2, Rejected, 0, "the body is malformed";
    BodyTooLarge = 1002, 413, 2, Rejected, 0, "the body is too large";
    UnknownService = 1003, 404, 2, Rejected, 0, "no such service";
    UnknownModel = 1004, 404, 2, Rejected, 0, "no such model";
    OrganisationMissing = 1005, 401, 2, Rejected, 0, "the organisation is missing";
    OrganisationForeign = 1006, 403, 2, Rejected, 0, "the organisation is not served here";
    KeyReused = 1007, 409, 2, Rejected, 0, "the key was used with another body";
    MalformedKey = 1008, 400, 2, Rejected, 0, "the key is malformed";
    UnknownPath = 1009, 404, 2, Rejected, 0, "no such path";
    UnknownKey = 1010, 404, 2, Rejected, 0, "no request is known under this key";
    MalformedHeader = 1011, 400, 2, Rejected, 0, "a header is malformed";
    BodyLate = 1012, 408, 2, Rejected, 1, "the body did not arrive in time";
    HeadTooLarge = 1013, 431, 2, Rejected, 0, "the head of the request is too large";
    UnknownRoute = 1014, 404, 2, Rejected, 0, "no route takes this request";
    UnknownCredential = 1015, 401, 2, Rejected, 0, "no organisation holds this key";
    AmbiguousLength = 1016, 400, 2, Rejected, 0, "the request states its length in two ways";
    NoServer = 2001, 503, 3, NotRun, 1, "not run: no backend server can take it";
    OverLimit = 2002, 429, 3, NotRun, 1, "not run: the organisation is over its limit";
    TooLate = 2003, 503, 3, NotRun, 1, "not run: it cannot be on time";
    Leaving = 2004, 503, 3, NotRun, 1, "not run: this entry is leaving";
    NoConfiguration = 2005, 503, 3, NotRun, 1, "not run: no current configuration here";
    NoArbiter = 2006, 503, 3, NotRun, 2, "not run: the key has no home and the key-value service is unreachable";
    NotDispatched = 2007, 503, 3, NotRun, 1, "not run: no backend server received it";
    Overloaded = 2008, 503, 3, NotRun, 1, "not run: this entry is overloaded";
    RulesStale = 2009, 503, 3, NotRun, 1, "not run: the rules here may be out of date";
    Expired = 2010, 503, 3, NotRun, 0, "not run: its deadline has passed";
    Quarantined = 2011, 503, 3, NotRun, 120, "not run: servers crash under it or a part of its prompt";
    OriginUnknown = 2012, 503, 3, NotRun, 1, "not run: the version that began the stream is unknown";
    BackendBroke = 3001, 502, 4, Unknown, 0, "unknown: the backend server broke off after dispatch";
    HomeLost = 3002, 502, 4, Unknown, 0, "unknown: both holders of the request are gone";
    OwnerSilent = 3003, 502, 4, Unknown, 2, "unknown: its owner is silent and may have dispatched it";
    Elsewhere = 3004, 502, 4, Unknown, 1, "unknown: another entry holds the right to dispatch it";
    Incomplete = 3005, 502, 4, Unknown, 1, "unknown: the answer stopped before its final event";
    DeadlinePassed = 3006, 504, 4, Unknown, 0, "unknown: the deadline passed before the answer";
    ConfigInvalid = 4001, 422, 5, Other, 0, "the configuration has mistakes";
    ConfigConflict = 4002, 409, 6, Other, 0, "another configuration was accepted first";
    ConfigUnsettled = 4003, 504, 7, Other, 2, "the key-value service has not said whether it was accepted";
    ConfigNotEverywhere = 4004, 504, 8, Other, 2, "accepted, but not yet in force everywhere";
    SettingsUnreadable = 5001, 500, 2, Other, 0, "the settings file is unreadable";
    PortInUse = 5002, 500, 9, Other, 0, "the address cannot be listened on";
    PlatformUnreachable = 5003, 503, 10, Other, 2, "the platform is unreachable";
    PeerUnreachable = 5004, 503, 10, Other, 1, "the entry is unreachable";
    ServiceMissing = 5005, 500, 11, Other, 0, "a service is not registered";
    Internal = 5006, 500, 11, Other, 0, "an internal invariant does not hold";
    OrderFenced = 5007, 409, 6, Other, 0, "a newer order was given already";
    VmRefused = 5008, 503, 10, Other, 5, "the cloud has no such VM to give";
    WeightsBusy = 5009, 429, 10, Other, 1, "the weight store is over its rate";
}

impl Code {
    /// Returns the code with the given number.
    pub fn from_number(number: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.number() == number)
    }
}
