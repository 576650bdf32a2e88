//! Reads fields out of JSON objects and collects what is wrong with them.
use super::{ticks_down, ticks_up};
use crate::field_error::FieldError;
use mallowseam_scheduler::interface::Tick;
use serde_json::Value;

/// An object of the settings, and the path that its fields have in errors: empty, or ending in a dot.
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

    /// An object inside this one; empty if it is absent.
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

/// Reads fields, and notes each that is missing or invalid. A number that is absent is 0, where
/// `docs/configuration.md` says that this stands for none; one that is no number is rejected.
#[derive(Default)]
pub(super) struct Reader {
    errors: Vec<FieldError>,
}

impl Reader {
    pub(super) fn into_errors(self) -> Vec<FieldError> {
        self.errors
    }

    /// Notes that a field should be something else.
    pub(super) fn reject(&mut self, object: &Object, key: &str, expected: &str) {
        self.errors.push(FieldError::new(
            object.field(key),
            format!("expected {expected}"),
        ));
    }

    /// A number of 0 or more.
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

    /// A number without which nothing safe can be decided.
    pub(super) fn positive(&mut self, object: &Object, key: &str) -> f64 {
        let number = self.number(object, key);
        let field = object.field(key);
        if number == 0.0 && !self.errors.iter().any(|e| e.field == field) {
            self.reject(object, key, "a figure above 0");
        }
        number
    }

    /// Microseconds as ticks, rounded down.
    pub(super) fn ticks_down(&mut self, object: &Object, key: &str) -> Tick {
        ticks_down(self.number(object, key))
    }

    /// Microseconds as ticks, rounded up.
    pub(super) fn ticks_up(&mut self, object: &Object, key: &str) -> Tick {
        ticks_up(self.number(object, key))
    }

    /// Something allowed or promised; not, if nothing says so.
    pub(super) fn flag(&mut self, object: &Object, key: &str) -> bool {
        let value = &object.value[key];
        if !value.is_null() && !value.is_boolean() {
            self.reject(object, key, "true or false");
        }
        value.as_bool().unwrap_or(false)
    }

    /// One of several words, or none.
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

    /// A name that no other object of its kind has; it joins them in any case, so that indices agree.
    pub(super) fn unique_name(&mut self, object: &Object, others: &mut Vec<String>) {
        let name = object.value["name"].as_str().unwrap_or_default().to_owned();
        if name.is_empty() || others.contains(&name) {
            self.reject(object, "name", "a name of its own");
        }
        others.push(name);
    }

    /// The figures of one rule: all of them, or none.
    pub(super) fn all_or_none(&mut self, object: &Object, keys: &[&str]) {
        if keys.iter().all(|key| object.value[*key].is_null()) {
            return;
        }
        for key in keys.iter().filter(|key| object.value[**key].is_null()) {
            self.reject(object, key, "a figure, as others of its rule are there");
        }
    }
}
