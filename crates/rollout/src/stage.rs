//! Stages of a rollout, and what a successor of the decider needs to go on.

use crate::order::{RolloutOrder, RolloutState, RolloutStatus};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use snafu::{OptionExt, ResultExt, Snafu};

/// Parts of a million, for shares that are stored and compared exactly.
pub const MILLION: u64 = 1_000_000;
/// First word of a stored progress; another one is of a release that this one does not
/// know.
const FORMAT: &str = "rollout/1";

/// Number of a rollout: the order's revision when its first status was decided, so a
/// later rollout of a service has a higher one even if a status was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RolloutNumber(pub u64);

/// Rises with each change of a rollout's stage, and over the rollouts of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// What makes an order the same order: writes of its status raise the object's
/// revision, so the revision does not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderIdentity {
    /// The service.
    pub service: ServiceName,
    /// The version that is to serve it.
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

/// Why a version serves nothing any more; of the rollout's last stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RollBackCause {
    /// Its answers were worse than those of the established engines.
    BadAnswers,
    /// No engine of it came, or none was left.
    NoEngines,
    /// The order can't be carried out as it stands.
    OrderDoesNotFit,
    /// Too few answers came to accept it.
    NoProof,
}

/// How far a rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The target gets a share of the requests.
    Canary {
        /// The share, in parts of a million.
        share_ppm: u32,
    },
    /// All new requests go to the target; what runs on established engines ends there.
    CuttingOver,
    /// The established engines get nothing ever more.
    Completed,
    /// The target gets nothing ever more.
    RolledBack {
        /// Why.
        cause: RollBackCause,
    },
}

impl Stage {
    /// Its name, as it is stored, logged and counted.
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

    /// What the operator reads.
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

/// What is stored of a rollout beside its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The rollout.
    pub rollout: RolloutNumber,
    /// The change of stage that this is.
    pub epoch: Epoch,
    /// The stage.
    pub stage: Stage,
    /// The order's duration that the rollout keeps to, in milliseconds.
    pub duration_ms: u64,
    /// Time from the order until this was decided, in milliseconds; at least so much
    /// had passed.
    pub elapsed_ms: u64,
    /// Requests of the service since the order, as known then.
    pub requests: u64,
    /// Arrivals at engines of the target since the order, as known then.
    pub target_arrivals: u64,
    /// Credits that the fleet had by then (see [`crate::credits`]).
    pub credits: u64,
    /// Versions that older orders left without proof: they serve nothing either.
    pub avoided: Vec<SoftwareVersion>,
    /// The other versions beside the target that were known since the order; once it is
    /// completed they serve nothing.
    pub established: Vec<SoftwareVersion>,
}

/// A stored progress that this release can't read.
#[derive(Debug, Snafu, PartialEq)]
pub enum ProgressError {
    /// Written by another release.
    #[snafu(display("progress of format '{found}', this release reads '{FORMAT}'"))]
    UnknownFormat {
        /// What stands in place of the format.
        found: String,
    },
    /// A field is missing.
    #[snafu(display("progress without '{field}'"))]
    MissingField {
        /// Its name.
        field: &'static str,
    },
    /// A field that is no number.
    #[snafu(display("progress with {field}={text}: {source}"))]
    InvalidNumber {
        /// Its name.
        field: &'static str,
        /// What stands in its place.
        text: String,
        /// Why it is none.
        source: std::num::ParseIntError,
    },
    /// An escape in a version that stands for no character.
    #[snafu(display("progress with the version '{text}', whose escape is broken"))]
    BrokenEscape {
        /// The version as it is stored.
        text: String,
    },
    /// A stage that this release does not know.
    #[snafu(display("progress with the unknown stage '{stage}'"))]
    UnknownStage {
        /// Its name.
        stage: String,
    },
    /// The stage and the state that the operator reads contradict each other.
    #[snafu(display("progress says {stage:?}, the status beside it {state:?}"))]
    Contradiction {
        /// What the progress says.
        stage: Stage,
        /// What the operator reads.
        state: RolloutState,
    },
}

impl Progress {
    /// The text that is stored.
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

    /// Reads what [`Self::encode`] wrote.
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

/// What is recorded with an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// Nothing yet.
    Nothing,
    /// The end or the progress of an older order, which the present one supersedes.
    OfOlderOrder(Progress),
    /// The present order's progress.
    Present(Progress),
}

impl Recorded {
    /// What is recorded with an order.
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

    /// The present order's progress, if any is recorded.
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

/// Versions as one word: characters that separate words or versions are escaped.
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

/// The words of a stored progress.
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
