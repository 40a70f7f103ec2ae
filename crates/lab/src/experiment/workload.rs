//! Traces shaped like the users' traffic: deeply nested shared prefixes, of which a
//! few are very popular and change without warning; short queries among long ones;
//! eight tenants, of which a few are large.

use serde::{Deserialize, Serialize};

/// One request of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TraceRequest {
    /// Time of arrival, in microseconds since the start of the trace.
    pub at_us: u64,
    /// Number of the tenant.
    pub tenant: usize,
    /// Identities of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the answer.
    pub answer_tokens: u64,
}

/// The shape of a workload.
#[derive(Clone, Debug)]
pub struct WorkloadShape {
    /// Name in reports.
    pub name: &'static str,
    /// Length of the trace, in seconds.
    pub seconds: u64,
    /// Mean requests per second.
    pub rate: f64,
    /// Share of long requests.
    pub long_share: f64,
    /// Number of documents per tenant.
    pub documents: usize,
    /// Smallest and largest number of blocks in a document.
    pub document_blocks: (u64, u64),
    /// Mean number of requests per session; each extends the prompt.
    pub session_requests: f64,
    /// Exponent of the power law of the documents' popularity.
    pub skew: f64,
    /// Time between two shifts of popularity, in seconds.
    pub shift_seconds: u64,
    /// Mean tokens of an answer.
    pub answer_tokens: f64,
}

impl WorkloadShape {
    /// Long fault histories and service manuals, short part queries.
    pub fn bula() -> Self {
        Self {
            name: "bula",
            seconds: 120,
            rate: 75.0,
            long_share: 0.5,
            documents: 14,
            document_blocks: (8, 40),
            session_requests: 3.0,
            skew: 1.1,
            shift_seconds: 20,
            answer_tokens: 80.0,
        }
    }

    /// Long job sheets reviewed again and again, short material questions.
    pub fn city() -> Self {
        Self {
            name: "city",
            seconds: 120,
            rate: 42.0,
            long_share: 0.65,
            documents: 10,
            document_blocks: (20, 60),
            session_requests: 7.0,
            skew: 0.9,
            shift_seconds: 30,
            answer_tokens: 100.0,
        }
    }

    /// The shape of this name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "bula" => Some(Self::bula()),
            "city" => Some(Self::city()),
            _ => None,
        }
    }
}

/// Shares of requests of the eight tenants; a few tenants are large.
const TENANT_SHARES: [f64; 8] = [0.34, 0.24, 0.14, 0.09, 0.07, 0.05, 0.04, 0.03];
/// Blocks of the instructions that all prompts of a tenant begin with.
const INSTRUCTION_BLOCKS: u64 = 2;
/// Sessions that can be continued.
const OPEN_SESSIONS: usize = 64;

struct Session {
    tenant: usize,
    blocks: Vec<u64>,
}

struct Generator<'a> {
    shape: &'a WorkloadShape,
    random: fastrand::Rng,
    /// The documents of each tenant in order of popularity.
    popularity: Vec<Vec<usize>>,
    sessions: Vec<Session>,
    next_unique: u64,
}

/// Generates a trace. The same shape and seed give the same trace.
pub fn generate(shape: &WorkloadShape, seed: u64) -> Vec<TraceRequest> {
    let mut generator = Generator {
        shape,
        random: fastrand::Rng::with_seed(seed),
        popularity: vec![(0..shape.documents).collect(); TENANT_SHARES.len()],
        sessions: Vec::new(),
        next_unique: 1 << 40,
    };
    generator.shift();
    let mut trace = Vec::new();
    let mut now = 0.0;
    let mut next_shift = shape.shift_seconds as f64;
    loop {
        now += generator.exponential(1.0 / shape.rate);
        if now >= shape.seconds as f64 {
            return trace;
        }
        if now >= next_shift {
            next_shift += shape.shift_seconds as f64;
            generator.shift();
        }
        let (tenant, blocks) = generator.prompt();
        let answer = generator.exponential(shape.answer_tokens).ceil();
        trace.push(TraceRequest {
            at_us: (now * 1e6) as u64,
            tenant,
            blocks,
            answer_tokens: (answer as u64).max(1),
        });
    }
}

impl Generator<'_> {
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.f64()).ln()
    }

    /// Shuffles the popularity of the documents.
    fn shift(&mut self) {
        for order in &mut self.popularity {
            self.random.shuffle(order);
        }
    }

    fn unique(&mut self) -> u64 {
        self.next_unique += 1;
        self.next_unique
    }

    fn prompt(&mut self) -> (usize, Vec<u64>) {
        if self.random.f64() >= self.shape.long_share {
            return self.short_query();
        }
        let continues = 1.0 - 1.0 / self.shape.session_requests;
        if !self.sessions.is_empty() && self.random.f64() < continues {
            return self.continue_session();
        }
        self.new_session()
    }

    fn tenant(&mut self) -> usize {
        let mut left = self.random.f64();
        for (tenant, share) in TENANT_SHARES.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return tenant;
            }
        }
        0
    }

    fn instructions(tenant: usize) -> Vec<u64> {
        let first = (tenant as u64 + 1) << 32;
        (first..first + INSTRUCTION_BLOCKS).collect()
    }

    fn short_query(&mut self) -> (usize, Vec<u64>) {
        let tenant = self.tenant();
        let mut blocks = Self::instructions(tenant);
        blocks.push(self.unique());
        (tenant, blocks)
    }

    /// A prefix of a document of random length, and one unique block.
    fn new_session(&mut self) -> (usize, Vec<u64>) {
        let tenant = self.tenant();
        let document = self.document(tenant);
        let (least, most) = self.shape.document_blocks;
        let span = most - least;
        let length = least + (document as u64 * 7_919 + tenant as u64 * 104_729) % (span + 1);
        let depth = length - self.random.u64(..=length / 4);
        let mut blocks = Self::instructions(tenant);
        let first = ((tenant as u64 + 1) << 32) + ((document as u64 + 1) << 16);
        blocks.extend(first..first + depth);
        blocks.push(self.unique());
        if self.sessions.len() >= OPEN_SESSIONS {
            self.sessions.remove(0);
        }
        self.sessions.push(Session {
            tenant,
            blocks: blocks.clone(),
        });
        (tenant, blocks)
    }

    /// Documents are chosen by a power law over the present order of popularity.
    fn document(&mut self, tenant: usize) -> usize {
        let weights = (1..=self.shape.documents).map(|rank| (rank as f64).powf(-self.shape.skew));
        let total: f64 = weights.clone().sum();
        let mut left = self.random.f64() * total;
        for (rank, weight) in weights.enumerate() {
            left -= weight;
            if left < 0.0 {
                return self.popularity[tenant][rank];
            }
        }
        self.popularity[tenant][0]
    }

    fn continue_session(&mut self) -> (usize, Vec<u64>) {
        let chosen = self.random.usize(..self.sessions.len());
        let added = self.unique();
        let session = &mut self.sessions[chosen];
        session.blocks.push(added);
        (session.tenant, session.blocks.clone())
    }
}
