//! Stages of a rollout, and the stored progress from which another decider continues.

use crate::order::{RolloutOrder, RolloutState, RolloutStatus};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use snafu::{OptionExt, ResultExt, Snafu};

/// Parts of a million, for shares that are stored and compared exactly.
pub const MILLION: u64 = 1_000_000;
/// First word of a stored progress. Another one was written by a release whose format
/// this release can't read.
const FORMAT: &str = "rollout/1";

/// Number of a rollout: the order's revision when its first status was decided, so that
/// a later rollout of a service has a higher number even if a status was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RolloutNumber(pub u64);

/// Rises with each change of stage, also from one rollout of a service to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Identity of an order. It does not include the object's revision, which writes of its
/// status raise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderIdentity {
    /// The service.
    pub service: ServiceName,
    /// The version that is to serve the service.
    pub target: SoftwareVersion,
    /// Time from the order until its deadline, in milliseconds.
    pub duration_ms: u64,
}

impl OrderIdentity {
    /// The identity of an order.
    pub fn of(order: &RolloutOrder) -> Self {
        Self {
            service: order.service.clone(),
            target: order.target.clone(),
            duration_ms: order.duration_ms,
        }
    }
}

/// Why a rollout was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RollBackCause {
    /// The target's answers were worse than those of the established engines.
    BadAnswers,
    /// No engine of the target appeared, or none was left.
    NoEngines,
    /// The order can't be carried out as given.
    OrderDoesNotFit,
    /// Too few answers arrived to accept the target.
    NoProof,
}

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The target gets a share of the requests.
    Canary {
        /// The share, in parts of a million.
        share_ppm: u32,
    },
    /// All new requests go to the target; requests that run on established engines
    /// finish there.
    CuttingOver,
    /// The established engines permanently get no more requests.
    Completed,
    /// The target permanently gets no more requests.
    RolledBack {
        /// Why it was rolled back.
        cause: RollBackCause,
    },
}

impl Stage {
    /// The stage's name, as it is stored, logged and counted.
    pub fn name(self) -> &'static str {
        match self {
            Self::Canary { .. } => "canary",
            Self::CuttingOver => "cutting_over",
            Self::Completed => "completed",
            Self::RolledBack { .. } => "rolled_back",
        }
    }

    /// The target's share of the requests, in parts of a million.
    pub fn share_ppm(self) -> u64 {
        match self {
            Self::Canary { share_ppm } => u64::from(share_ppm),
            Self::CuttingOver | Self::Completed => MILLION,
            Self::RolledBack { .. } => 0,
        }
    }

    /// The state that the operator reads.
    pub fn state(self) -> RolloutState {
        match self {
            Self::Canary { .. } | Self::CuttingOver => RolloutState::Running,
            Self::Completed => RolloutState::Completed,
            Self::RolledBack { .. } => RolloutState::RolledBack,
        }
    }

    /// Whether no other stage follows.
    pub fn is_terminal(self) -> bool {
        self.state() != RolloutState::Running
    }
}

/// The progress of a rollout, which is stored together with its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The rollout.
    pub rollout: RolloutNumber,
    /// The epoch of the stage.
    pub epoch: Epoch,
    /// The stage.
    pub stage: Stage,
    /// The order's duration, from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// Time from the order until this stage was decided, in milliseconds; a lower bound.
    pub elapsed_ms: u64,
    /// Requests of the service since the order, as known at that time.
    pub requests: u64,
    /// Arrivals at engines of the target since the order, as known at that time.
    pub target_arrivals: u64,
    /// The fleet's credits at that time (see [`crate::credits`]).
    pub credits: u64,
    /// Versions that earlier orders rolled out without completing them: they get no
    /// requests either.
    pub avoided: Vec<SoftwareVersion>,
    /// The other versions that were known since the order; once the rollout is completed
    /// they get no requests.
    pub established: Vec<SoftwareVersion>,
}

/// Why a stored progress can't be read.
#[derive(Debug, Snafu, PartialEq)]
pub enum ProgressError {
    /// The format is that of another release.
    #[snafu(display("stored progress has the format '{found}', this release reads '{FORMAT}'"))]
    UnknownFormat {
        /// The text in place of the format.
        found: String,
    },
    /// A field is missing.
    #[snafu(display("stored progress lacks the field '{field}'"))]
    MissingField {
        /// Its name.
        field: &'static str,
    },
    /// A field is not a number.
    #[snafu(display("stored progress has an invalid number {field}={text}: {source}"))]
    InvalidNumber {
        /// Its name.
        field: &'static str,
        /// Its text.
        text: String,
        /// Why it can't be parsed.
        source: std::num::ParseIntError,
    },
    /// A version contains an escape that stands for no character.
    #[snafu(display("stored progress has the version '{text}' with an invalid escape"))]
    BrokenEscape {
        /// The version as it is stored.
        text: String,
    },
    /// The stage, or the cause of a roll back, is unknown to this release.
    #[snafu(display("stored progress has the unknown stage or cause '{stage}'"))]
    UnknownStage {
        /// Its name.
        stage: String,
    },
    /// The stage contradicts the state that the operator reads.
    #[snafu(display(
        "stored progress has the stage {stage:?}, but the status has the state {state:?}"
    ))]
    Contradiction {
        /// The stage in the progress.
        stage: Stage,
        /// The state in the status.
        state: RolloutState,
    },
}

impl Progress {
    /// Encodes the progress as the text that is stored.
    pub fn encode(&self) -> String {
        let more = match self.stage {
            Stage::Canary { share_ppm } => format!(" share_ppm={share_ppm}"),
            Stage::CuttingOver | Stage::Completed => String::new(),
            Stage::RolledBack { cause } => format!(" cause={}", cause_name(cause)),
        };
        format!(
            "{FORMAT} rollout={} epoch={} duration_ms={} elapsed_ms={} requests={} \
             target_arrivals={} credits={} avoided={} established={} stage={}{more}",
            self.rollout.0,
            self.epoch.0,
            self.duration_ms,
            self.elapsed_ms,
            self.requests,
            self.target_arrivals,
            self.credits,
            encode_versions(&self.avoided),
            encode_versions(&self.established),
            self.stage.name(),
        )
    }

    /// Decodes a text that [`Self::encode`] wrote.
    ///
    /// # Errors
    ///
    /// Fails if the text has another format, lacks a field, or has a value that can't be
    /// read.
    pub fn decode(text: &str) -> Result<Self, ProgressError> {
        let fields = Fields::of(text)?;
        Ok(Self {
            rollout: RolloutNumber(fields.number("rollout")?),
            epoch: Epoch(fields.number("epoch")?),
            stage: fields.stage()?,
            duration_ms: fields.number("duration_ms")?,
            elapsed_ms: fields.number("elapsed_ms")?,
            requests: fields.number("requests")?,
            target_arrivals: fields.number("target_arrivals")?,
            credits: fields.number("credits")?,
            avoided: decode_versions(fields.text("avoided")?)?,
            established: decode_versions(fields.text("established")?)?,
        })
    }

    /// The status to store for an order.
    pub fn status(&self, order: &RolloutOrder) -> RolloutStatus {
        RolloutStatus {
            state: self.stage.state(),
            target: order.target.clone(),
            progress: self.encode(),
        }
    }
}

/// The progress that is recorded with an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// No progress is recorded yet.
    Nothing,
    /// The progress of an earlier order, which the current one supersedes.
    OfOlderOrder(Progress),
    /// The progress of the current order.
    Present(Progress),
}

impl Recorded {
    /// Decodes the status that is recorded with an order.
    ///
    /// # Errors
    ///
    /// Fails if the progress can't be read or contradicts the state in the status.
    pub fn of(order: &RolloutOrder) -> Result<Self, ProgressError> {
        let Some(status) = &order.status else {
            return Ok(Self::Nothing);
        };
        let progress = Progress::decode(&status.progress)?;
        if progress.stage.state() != status.state {
            return ContradictionSnafu {
                stage: progress.stage,
                state: status.state,
            }
            .fail();
        }
        let is_present = status.target == order.target && progress.duration_ms == order.duration_ms;
        Ok(match is_present {
            true => Self::Present(progress),
            false => Self::OfOlderOrder(progress),
        })
    }

    /// The current order's progress, if any is recorded.
    pub fn present(&self) -> Option<&Progress> {
        match self {
            Self::Present(progress) => Some(progress),
            Self::Nothing | Self::OfOlderOrder(_) => None,
        }
    }
}

fn cause_name(cause: RollBackCause) -> &'static str {
    match cause {
        RollBackCause::BadAnswers => "bad_answers",
        RollBackCause::NoEngines => "no_engines",
        RollBackCause::OrderDoesNotFit => "order_does_not_fit",
        RollBackCause::NoProof => "no_proof",
    }
}

/// Encodes versions as one word; characters that separate words or versions are escaped.
fn encode_versions(versions: &[SoftwareVersion]) -> String {
    let escaped: Vec<String> = versions.iter().map(encode_version).collect();
    escaped.join(",")
}

fn encode_version(version: &SoftwareVersion) -> String {
    let mut escaped = String::new();
    for character in version.0.chars() {
        match character {
            '%' | ',' | '=' => escaped.push_str(&format!("%{:x};", u32::from(character))),
            other if other.is_whitespace() => {
                escaped.push_str(&format!("%{:x};", u32::from(other)));
            }
            other => escaped.push(other),
        }
    }
    escaped
}

fn decode_versions(text: &str) -> Result<Vec<SoftwareVersion>, ProgressError> {
    let versions = text.split(',').filter(|version| !version.is_empty());
    versions.map(decode_version).collect()
}

fn decode_version(text: &str) -> Result<SoftwareVersion, ProgressError> {
    let broken = BrokenEscapeSnafu { text };
    let mut parts = text.split('%');
    let mut version = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (code, rest) = part.split_once(';').context(broken)?;
        let code = u32::from_str_radix(code, 16).ok();
        version.push(code.and_then(char::from_u32).context(broken)?);
        version.push_str(rest);
    }
    Ok(SoftwareVersion(version))
}

/// The `key=value` words of a stored progress.
struct Fields<'a> {
    words: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    fn of(text: &'a str) -> Result<Self, ProgressError> {
        let mut words = text.split(' ');
        let format = words.next().unwrap_or_default();
        if format != FORMAT {
            return UnknownFormatSnafu { found: format }.fail();
        }
        Ok(Self {
            words: words.filter_map(|word| word.split_once('=')).collect(),
        })
    }

    fn text(&self, field: &'static str) -> Result<&'a str, ProgressError> {
        let found = self.words.iter().find(|(name, _)| *name == field);
        let (_, text) = found.context(MissingFieldSnafu { field })?;
        Ok(text)
    }

    fn number<T>(&self, field: &'static str) -> Result<T, ProgressError>
    where
        T: std::str::FromStr<Err = std::num::ParseIntError>,
    {
        let text = self.text(field)?;
        text.parse().context(InvalidNumberSnafu { field, text })
    }

    fn stage(&self) -> Result<Stage, ProgressError> {
        Ok(match self.text("stage")? {
            "canary" => Stage::Canary {
                share_ppm: self.number("share_ppm")?,
            },
            "cutting_over" => Stage::CuttingOver,
            "completed" => Stage::Completed,
            "rolled_back" => Stage::RolledBack {
                cause: self.cause()?,
            },
            stage => return UnknownStageSnafu { stage }.fail(),
        })
    }

    fn cause(&self) -> Result<RollBackCause, ProgressError> {
        Ok(match self.text("cause")? {
            "bad_answers" => RollBackCause::BadAnswers,
            "no_engines" => RollBackCause::NoEngines,
            "order_does_not_fit" => RollBackCause::OrderDoesNotFit,
            "no_proof" => RollBackCause::NoProof,
            cause => return UnknownStageSnafu { stage: cause }.fail(),
        })
    }
}
