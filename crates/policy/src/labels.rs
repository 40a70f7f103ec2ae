//! Labels and selectors with the semantics of the Kubernetes API conventions.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Labels of one object: key to value, in a stable order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(pub BTreeMap<String, String>);

impl Labels {
    /// Builds labels from pairs.
    pub fn from_pairs<const N: usize>(pairs: [(&str, &str); N]) -> Self {
        let owned = pairs.map(|(key, value)| (key.to_owned(), value.to_owned()));
        Self(BTreeMap::from(owned))
    }

    /// The value of `key`, if it is set.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
}

/// The operator of one expression in a selector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operator {
    /// The label is set to one of the values.
    In,
    /// The label is absent or set to none of the values.
    NotIn,
    /// The label is set.
    Exists,
    /// The label is not set.
    DoesNotExist,
}

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expression {
    /// The label's key.
    pub key: String,
    /// How the label is compared with `values`.
    pub operator: Operator,
    /// Empty for `Exists` and `DoesNotExist`.
    #[serde(default)]
    pub values: Vec<String>,
}

/// Matches labels when every condition holds. An empty selector matches all labels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Selector {
    /// Labels that must be set to exactly these values.
    #[serde(default)]
    pub match_labels: BTreeMap<String, String>,
    /// Further conditions.
    #[serde(default)]
    pub match_expressions: Vec<Expression>,
}

/// The first condition of a selector that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// The condition, in readable form.
    pub condition: String,
    /// The label's value, or `None` when it is not set.
    pub found: Option<String>,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.found {
            Some(found) => write!(formatter, "{} (label is '{found}')", self.condition),
            None => write!(formatter, "{} (label is not set)", self.condition),
        }
    }
}

impl Expression {
    fn holds(&self, found: Option<&str>) -> bool {
        let listed = found.is_some_and(|value| self.values.iter().any(|entry| entry == value));
        match self.operator {
            Operator::In => listed,
            Operator::NotIn => !listed,
            Operator::Exists => found.is_some(),
            Operator::DoesNotExist => found.is_none(),
        }
    }

    /// Describes why the expression is invalid; `None` when it is valid.
    pub fn fault(&self) -> Option<&'static str> {
        let needs_values = matches!(self.operator, Operator::In | Operator::NotIn);
        if needs_values && self.values.is_empty() {
            return Some("In and NotIn need at least one value");
        }
        if !needs_values && !self.values.is_empty() {
            return Some("Exists and DoesNotExist take no values");
        }
        None
    }
}

impl Selector {
    /// A selector that requires exactly these label values.
    pub fn of_labels<const N: usize>(pairs: [(&str, &str); N]) -> Self {
        Self {
            match_labels: Labels::from_pairs(pairs).0,
            match_expressions: Vec::new(),
        }
    }

    /// Returns the first condition that does not hold, or `None` on a match.
    pub fn mismatch(&self, labels: &Labels) -> Option<Mismatch> {
        for (key, wanted) in &self.match_labels {
            let found = labels.get(key);
            if found != Some(wanted.as_str()) {
                return Some(Mismatch {
                    condition: format!("{key} = '{wanted}'"),
                    found: found.map(str::to_owned),
                });
            }
        }
        for expression in &self.match_expressions {
            let found = labels.get(&expression.key);
            if !expression.holds(found) {
                let condition = format!(
                    "{} {:?} {:?}",
                    expression.key, expression.operator, expression.values
                );
                return Some(Mismatch {
                    condition,
                    found: found.map(str::to_owned),
                });
            }
        }
        None
    }

    /// Whether every condition holds. Unlike [`Selector::mismatch`], it formats no text.
    pub fn matches(&self, labels: &Labels) -> bool {
        let mut exact = self.match_labels.iter();
        let mut further = self.match_expressions.iter();
        exact.all(|(key, wanted)| labels.get(key) == Some(wanted.as_str()))
            && further.all(|expression| expression.holds(labels.get(&expression.key)))
    }
}
