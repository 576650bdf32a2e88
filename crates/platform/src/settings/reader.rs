//! Reader of settings fields in JSON objects, which collects their errors.
use super::{ticks_down, ticks_up};
use crate::field_error::FieldError;
use mallowseam_scheduler::interface::Tick;
use serde_json::Value;

/// Object of the settings with the prefix of its fields' paths in errors, which is empty or ends in a dot.
pub(super) struct Object<'a> {
    pub(super) value: &'a Value,
    pub(super) path: String,
}

impl<'a> Object<'a> {
    pub(super) fn root(value: &'a Value) -> Self {
        Object {
            value,
            path: String::new(),
        }
    }

    /// Returns a nested object. An absent object counts as empty.
    pub(super) fn object(&self, key: &str) -> Object<'a> {
        Object {
            value: &self.value[key],
            path: format!("{}{key}.", self.path),
        }
    }

    fn field(&self, key: &str) -> String {
        format!("settings.{}{key}", self.path)
    }
}

/// Reads fields and collects an error for each that is missing or invalid. An absent number is 0, which stands for
/// none where `docs/configuration.md` says so; a value that is not a number is rejected.
#[derive(Default)]
pub(super) struct Reader {
    errors: Vec<FieldError>,
}

impl Reader {
    pub(super) fn into_errors(self) -> Vec<FieldError> {
        self.errors
    }

    /// Adds an error for a field, with the expected value.
    pub(super) fn reject(&mut self, object: &Object, key: &str, expected: &str) {
        self.errors.push(FieldError::new(
            object.field(key),
            format!("expected {expected}"),
        ));
    }

    /// Reads a number of 0 or more.
    pub(super) fn number(&mut self, object: &Object, key: &str) -> f64 {
        let value = &object.value[key];
        if value.is_null() {
            return 0.0;
        }
        let number = value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        if number.is_none() {
            self.reject(object, key, "a figure of 0 or more");
        }
        number.unwrap_or(0.0)
    }

    /// Reads a number above 0, without which no safe decision is possible.
    pub(super) fn positive(&mut self, object: &Object, key: &str) -> f64 {
        let number = self.number(object, key);
        let field = object.field(key);
        if number == 0.0 && !self.errors.iter().any(|e| e.field == field) {
            self.reject(object, key, "a figure above 0");
        }
        number
    }

    /// Reads a number of microseconds as ticks, rounded down.
    pub(super) fn ticks_down(&mut self, object: &Object, key: &str) -> Tick {
        ticks_down(self.number(object, key))
    }

    /// Reads a number of microseconds as ticks, rounded up.
    pub(super) fn ticks_up(&mut self, object: &Object, key: &str) -> Tick {
        ticks_up(self.number(object, key))
    }

    /// Reads a boolean. An absent one is false, the safe value.
    pub(super) fn flag(&mut self, object: &Object, key: &str) -> bool {
        let value = &object.value[key];
        if !value.is_null() && !value.is_boolean() {
            self.reject(object, key, "true or false");
        }
        value.as_bool().unwrap_or(false)
    }

    /// Reads one of several words, which may be absent.
    pub(super) fn choice<'a>(
        &mut self,
        object: &Object<'a>,
        key: &str,
        choices: &[&str],
    ) -> Option<&'a str> {
        let value = &object.value[key];
        let found = value.as_str().filter(|w| choices.contains(w));
        if found.is_none() && !value.is_null() {
            self.reject(object, key, &choices.join(" or "));
        }
        found
    }

    /// Reads a name that no other object of its kind has. The name is added to `others` also if it is invalid, so that
    /// the indices of names and objects agree.
    pub(super) fn unique_name(&mut self, object: &Object, others: &mut Vec<String>) {
        let name = object.value["name"].as_str().unwrap_or_default().to_owned();
        if name.is_empty() || others.contains(&name) {
            self.reject(object, "name", "a name of its own");
        }
        others.push(name);
    }

    /// Checks that the numbers of one rule are either all present or all absent.
    pub(super) fn all_or_none(&mut self, object: &Object, keys: &[&str]) {
        if keys.iter().all(|key| object.value[*key].is_null()) {
            return;
        }
        for key in keys.iter().filter(|key| object.value[**key].is_null()) {
            self.reject(
                object,
                key,
                "a figure, since other fields of the same rule are set",
            );
        }
    }
}
