//! Reads a TOML file against a [`Schema`] and collects all problems instead of stopping at
//! the first.

use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::problem::{Problem, Severity};
use crate::schema::{DefaultValue, Field, Kind, Schema};

/// Maximum edit distance between an unknown key and the key suggested for it.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// A value and its position in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The value as read, or a default.
    pub value: T,
    /// Byte range in the file; that of the table if the key is absent.
    pub span: Range<usize>,
}

/// A parsed file and the problems found so far.
pub struct Document<'a> {
    schema: Schema,
    root: Spanned<DeTable<'a>>,
    /// Problems found so far.
    pub problems: Vec<Problem>,
}

/// One table of a document, such as one `[[tenant]]`.
pub struct Table<'d, 'a> {
    section: &'static str,
    table: &'d DeTable<'a>,
    /// Byte range of the table in the file.
    pub span: Range<usize>,
}

impl<'a> Document<'a> {
    /// Parses a file and checks the names of its sections. A syntax error is returned alone,
    /// since nothing else can be checked.
    pub fn parse(text: &'a str, schema: Schema) -> Result<Self, Problem> {
        let root = DeTable::parse(text).map_err(|error| Problem {
            severity: Severity::Error,
            span: error.span().unwrap_or(0..text.len().min(1)),
            what: format!("not valid TOML: {}", error.message()),
            remedy: "correct the syntax; other problems are reported once the file parses"
                .to_owned(),
        })?;
        let mut document = Self {
            schema,
            root,
            problems: Vec::new(),
        };
        document.check_root_keys();
        Ok(document)
    }

    /// Records an error at a byte range of the file.
    pub fn error(&mut self, span: Range<usize>, what: String, remedy: impl Into<String>) {
        self.problems.push(Problem {
            severity: Severity::Error,
            span,
            what,
            remedy: remedy.into(),
        });
    }

    /// Records a warning at a byte range of the file.
    pub fn warning(&mut self, span: Range<usize>, what: String, remedy: impl Into<String>) {
        self.problems.push(Problem {
            severity: Severity::Warning,
            span,
            what,
            remedy: remedy.into(),
        });
    }

    fn check_root_keys(&mut self) {
        let schema = self.schema;
        let mut known = schema.keys("");
        known.extend(schema.sections.iter().map(|section| section.name));
        let entries: Vec<(String, Range<usize>)> = self
            .root
            .get_ref()
            .keys()
            .map(|key| (key.get_ref().to_string(), key.span()))
            .collect();
        for (key, span) in entries {
            if !known.contains(&key.as_str()) {
                self.report_unknown_key(&key, span, &known);
            }
        }
    }

    fn report_unknown_key(&mut self, key: &str, span: Range<usize>, known: &[&str]) {
        self.error(
            span,
            format!("unknown key `{key}`"),
            remedy_for_unknown_key(key, known),
        );
    }

    /// Calls `read` with a reader of the keys before the first section.
    pub fn read_root<T>(&mut self, read: impl FnOnce(&mut Reader<'_>) -> T) -> T {
        let root = std::mem::replace(&mut self.root, Spanned::new(0..0, DeTable::new()));
        let table = Table {
            section: "",
            table: root.get_ref(),
            span: 0..0,
        };
        let mut reader = Reader {
            schema: self.schema,
            table: &table,
            problems: &mut self.problems,
        };
        let value = read(&mut reader);
        self.root = root;
        value
    }

    /// Calls `read` with a reader of each table of a section and returns the results.
    pub fn read_each<T>(
        &mut self,
        section: &'static str,
        mut read: impl FnMut(&mut Reader<'_>) -> T,
    ) -> Vec<T> {
        let root = std::mem::replace(&mut self.root, Spanned::new(0..0, DeTable::new()));
        let tables = self.find_tables(root.get_ref(), section);
        let mut values = Vec::new();
        for table in &tables {
            let mut reader = Reader {
                schema: self.schema,
                table,
                problems: &mut self.problems,
            };
            reader.check_keys();
            values.push(read(&mut reader));
        }
        self.root = root;
        values
    }

    fn find_tables<'d>(
        &mut self,
        root: &'d DeTable<'a>,
        section: &'static str,
    ) -> Vec<Table<'d, 'a>> {
        let repeated = self
            .schema
            .sections
            .iter()
            .any(|known| known.name == section && known.repeated);
        let Some(value) = root.get(section) else {
            return Vec::new();
        };
        let form = if repeated {
            format!("[[{section}]]")
        } else {
            format!("[{section}]")
        };
        match (value.get_ref(), repeated) {
            (DeValue::Table(table), false) => vec![Table {
                section,
                table,
                span: value.span(),
            }],
            (DeValue::Array(items), true) => {
                let mut tables = Vec::new();
                for item in items.iter() {
                    match item.get_ref() {
                        DeValue::Table(table) => tables.push(Table {
                            section,
                            table,
                            span: item.span(),
                        }),
                        _ => self.error(
                            item.span(),
                            format!("`{section}` contains a value that is not a table"),
                            format!("write each as {form}"),
                        ),
                    }
                }
                tables
            }
            _ => {
                self.error(
                    value.span(),
                    format!("`{section}` has the wrong form"),
                    format!("write it as {form}"),
                );
                Vec::new()
            }
        }
    }
}

/// Reads the keys of one table.
pub struct Reader<'r> {
    schema: Schema,
    table: &'r Table<'r, 'r>,
    problems: &'r mut Vec<Problem>,
}

impl Reader<'_> {
    /// Returns the byte range of the table in the file.
    pub fn span(&self) -> Range<usize> {
        self.table.span.clone()
    }

    /// Records an error at a byte range of the file.
    pub fn error(&mut self, span: Range<usize>, what: String, remedy: impl Into<String>) {
        self.problems.push(Problem {
            severity: Severity::Error,
            span,
            what,
            remedy: remedy.into(),
        });
    }

    fn check_keys(&mut self) {
        let known = self.schema.keys(self.table.section);
        let unknown: Vec<(String, Range<usize>)> = self
            .table
            .table
            .keys()
            .filter(|key| !known.contains(&key.get_ref().as_ref()))
            .map(|key| (key.get_ref().to_string(), key.span()))
            .collect();
        for (key, span) in unknown {
            let remedy = remedy_for_unknown_key(&key, &known);
            let section = self.describe_section();
            self.error(span, format!("unknown key `{key}` in {section}"), remedy);
        }
    }

    fn describe_section(&self) -> String {
        match self.table.section {
            "" => "the file".to_owned(),
            section => format!("[{section}]"),
        }
    }

    /// Reads a string and checks it against the key's choices, if it has any.
    pub fn text(&mut self, key: &'static str) -> Located<String> {
        let Some((field, value, span)) = self.find_value(key) else {
            return self.default_text(key);
        };
        let DeValue::String(text) = value else {
            self.report_wrong_type(field, span.clone());
            return new_located(String::new(), span);
        };
        let text = text.to_string();
        if let Kind::Choice(choices) = field.kind
            && !choices.contains(&text.as_str())
        {
            let remedy = format!("use one of: {}", choices.join(", "));
            self.error(span.clone(), format!("`{key}` is `{text}`"), remedy);
        }
        if text.is_empty() && field.default == DefaultValue::Required {
            self.error(span.clone(), format!("`{key}` is empty"), field.meaning);
        }
        new_located(text, span)
    }

    /// Reads an integer and checks its bounds; returns the lower bound for an invalid value.
    pub fn number(&mut self, key: &'static str) -> Located<u64> {
        let Some((field, value, span)) = self.find_value(key) else {
            return self.default_number(key);
        };
        let (min, max) = match field.kind {
            Kind::Number { min, max } => (min, max),
            _ => (0, 100),
        };
        let number = match value {
            DeValue::Integer(integer) => {
                i128::from_str_radix(integer.as_str(), integer.radix()).ok()
            }
            _ => {
                self.report_wrong_type(field, span.clone());
                return new_located(min, span);
            }
        };
        let in_bounds = number.and_then(|number| u64::try_from(number).ok());
        let in_bounds = in_bounds.filter(|number| (min..=max).contains(number));
        match in_bounds {
            Some(number) => new_located(number, span),
            None => {
                let remedy = format!("give {}", field.describe_kind());
                self.error(span.clone(), format!("`{key}` is out of bounds"), remedy);
                new_located(min, span)
            }
        }
    }

    /// Reads a boolean; returns false for an invalid value.
    pub fn flag(&mut self, key: &'static str) -> bool {
        let Some((field, value, span)) = self.find_value(key) else {
            let field = self.schema.field(self.table.section, key);
            return field.is_some_and(|field| field.default == DefaultValue::Flag(true));
        };
        match value {
            DeValue::Boolean(flag) => *flag,
            _ => {
                self.report_wrong_type(field, span);
                false
            }
        }
    }

    /// Reads a list of strings and leaves out items of another type.
    pub fn text_list(&mut self, key: &'static str) -> Vec<Located<String>> {
        let Some((field, value, span)) = self.find_value(key) else {
            return self.default_text_list(key);
        };
        let DeValue::Array(items) = value else {
            self.report_wrong_type(field, span);
            return Vec::new();
        };
        let mut texts = Vec::new();
        let mut invalid = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::String(text) => texts.push(new_located(text.to_string(), item.span())),
                _ => invalid.push(item.span()),
            }
        }
        for span in invalid {
            self.report_wrong_type(field, span);
        }
        texts
    }

    fn find_value(&self, key: &str) -> Option<(&'static Field, &DeValue<'_>, Range<usize>)> {
        let field = self.schema.field(self.table.section, key)?;
        let value = self.table.table.get(key)?;
        Some((field, value.get_ref(), value.span()))
    }

    fn default_text(&mut self, key: &'static str) -> Located<String> {
        let span = self.span();
        match self.default_of(key) {
            Some(DefaultValue::Text(text)) => new_located(text.to_owned(), span),
            _ => new_located(String::new(), span),
        }
    }

    fn default_number(&mut self, key: &'static str) -> Located<u64> {
        let span = self.span();
        match self.default_of(key) {
            Some(DefaultValue::Number(number)) => new_located(number, span),
            _ => new_located(0, span),
        }
    }

    fn default_text_list(&mut self, key: &'static str) -> Vec<Located<String>> {
        self.default_of(key);
        Vec::new()
    }

    /// Returns the default of an absent key; records an error if the key is required.
    fn default_of(&mut self, key: &'static str) -> Option<DefaultValue> {
        let field = self.schema.field(self.table.section, key)?;
        if field.default == DefaultValue::Required {
            let what = format!("`{key}` is missing in {}", self.describe_section());
            let remedy = format!("add `{key}`: {}", field.meaning);
            self.error(self.span(), what, remedy);
        }
        Some(field.default)
    }

    fn report_wrong_type(&mut self, field: &Field, span: Range<usize>) {
        let what = format!("`{}` has the wrong type", field.key);
        self.error(span, what, format!("give {}", field.describe_kind()));
    }
}

fn new_located<T>(value: T, span: Range<usize>) -> Located<T> {
    Located { value, span }
}

/// Suggests the nearest known key, or lists the known keys if none is near.
fn remedy_for_unknown_key(key: &str, known: &[&str]) -> String {
    match nearest_key(key, known) {
        Some(nearest) => format!("did you mean `{nearest}`?"),
        None => format!("remove it; known keys: {}", known.join(", ")),
    }
}

/// Finds the known key with the least edit distance, up to [`MAX_SUGGESTION_DISTANCE`].
fn nearest_key<'k>(key: &str, known: &[&'k str]) -> Option<&'k str> {
    known
        .iter()
        .map(|candidate| (edit_distance(key, candidate), *candidate))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Computes the Levenshtein distance of two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (row_index, left_letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = row_index + 1;
        for (column, right_letter) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(left_letter != *right_letter);
            diagonal = row[column + 1];
            row[column + 1] = substituted.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
