//! Reads a TOML file against a [`Schema`] and collects every problem at once.

use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::problem::{Problem, Severity};
use crate::schema::{DefaultValue, Field, Kind, Schema};

/// Most edits between an unknown key and one that is suggested instead.
const SUGGESTION_DISTANCE: usize = 3;

/// A value and its place in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// Value.
    pub value: T,
    /// Place.
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
    /// Place of the table.
    pub span: Range<usize>,
}

impl<'a> Document<'a> {
    /// Parses a file. A syntax error is a problem like any other, but hides
    /// whatever comes with it.
    pub fn parse(text: &'a str, schema: Schema) -> Result<Self, Problem> {
        let root = DeTable::parse(text).map_err(|error| Problem {
            severity: Severity::Error,
            span: error.span().unwrap_or(0..text.len().min(1)),
            what: format!("not valid TOML: {}", error.message()),
            remedy: "correct the syntax; later problems show once it parses".to_owned(),
        })?;
        let mut document = Self {
            schema,
            root,
            problems: Vec::new(),
        };
        document.check_sections();
        Ok(document)
    }

    /// Adds an error.
    pub fn error(&mut self, span: Range<usize>, what: String, remedy: impl Into<String>) {
        self.problems.push(Problem {
            severity: Severity::Error,
            span,
            what,
            remedy: remedy.into(),
        });
    }

    /// Adds a warning.
    pub fn warning(&mut self, span: Range<usize>, what: String, remedy: impl Into<String>) {
        self.problems.push(Problem {
            severity: Severity::Warning,
            span,
            what,
            remedy: remedy.into(),
        });
    }

    fn check_sections(&mut self) {
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
                self.unknown_key(&key, span, &known);
            }
        }
    }

    fn unknown_key(&mut self, key: &str, span: Range<usize>, known: &[&str]) {
        self.error(span, format!("unknown key `{key}`"), remedy_for(key, known));
    }

    /// Calls `read` with the top of the file.
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

    /// Reads every table of a section.
    pub fn read_each<T>(
        &mut self,
        section: &'static str,
        mut read: impl FnMut(&mut Reader<'_>) -> T,
    ) -> Vec<T> {
        let root = std::mem::replace(&mut self.root, Spanned::new(0..0, DeTable::new()));
        let tables = self.tables(root.get_ref(), section);
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

    fn tables<'d>(&mut self, root: &'d DeTable<'a>, section: &'static str) -> Vec<Table<'d, 'a>> {
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
                            format!("`{section}` holds something that is not a table"),
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
    /// Place of the table.
    pub fn span(&self) -> Range<usize> {
        self.table.span.clone()
    }

    /// Adds an error.
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
            let remedy = remedy_for(&key, &known);
            let place = self.place();
            self.error(span, format!("unknown key `{key}` in {place}"), remedy);
        }
    }

    fn place(&self) -> String {
        match self.table.section {
            "" => "the file".to_owned(),
            section => format!("[{section}]"),
        }
    }

    /// A text, or a word.
    pub fn text(&mut self, key: &'static str) -> Located<String> {
        let Some((field, value, span)) = self.find(key) else {
            return self.default_text(key);
        };
        let DeValue::String(text) = value else {
            self.wrong_type(field, span.clone());
            return located(String::new(), span);
        };
        let text = text.to_string();
        if let Kind::Choice(words) = field.kind
            && !words.contains(&text.as_str())
        {
            let remedy = format!("use one of: {}", words.join(", "));
            self.error(span.clone(), format!("`{key}` is `{text}`"), remedy);
        }
        if text.is_empty() && field.default == DefaultValue::Required {
            self.error(span.clone(), format!("`{key}` is empty"), field.meaning);
        }
        located(text, span)
    }

    /// A whole number.
    pub fn number(&mut self, key: &'static str) -> Located<u64> {
        let Some((field, value, span)) = self.find(key) else {
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
                self.wrong_type(field, span.clone());
                return located(min, span);
            }
        };
        let in_bounds = number.and_then(|number| u64::try_from(number).ok());
        let in_bounds = in_bounds.filter(|number| (min..=max).contains(number));
        match in_bounds {
            Some(number) => located(number, span),
            None => {
                let remedy = format!("give {}", field.describe_kind());
                self.error(span.clone(), format!("`{key}` is out of bounds"), remedy);
                located(min, span)
            }
        }
    }

    /// A flag.
    pub fn flag(&mut self, key: &'static str) -> bool {
        let Some((field, value, span)) = self.find(key) else {
            let field = self.schema.field(self.table.section, key);
            return field.is_some_and(|field| field.default == DefaultValue::Flag(true));
        };
        match value {
            DeValue::Boolean(flag) => *flag,
            _ => {
                self.wrong_type(field, span);
                false
            }
        }
    }

    /// A list of texts.
    pub fn text_list(&mut self, key: &'static str) -> Vec<Located<String>> {
        let Some((field, value, span)) = self.find(key) else {
            return self.default_texts(key);
        };
        let DeValue::Array(items) = value else {
            self.wrong_type(field, span);
            return Vec::new();
        };
        let mut texts = Vec::new();
        let mut wrong = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::String(text) => texts.push(located(text.to_string(), item.span())),
                _ => wrong.push(item.span()),
            }
        }
        for span in wrong {
            self.wrong_type(field, span);
        }
        texts
    }

    fn find(&self, key: &str) -> Option<(&'static Field, &DeValue<'_>, Range<usize>)> {
        let field = self.schema.field(self.table.section, key)?;
        let value = self.table.table.get(key)?;
        Some((field, value.get_ref(), value.span()))
    }

    fn default_text(&mut self, key: &'static str) -> Located<String> {
        let span = self.span();
        match self.absent(key) {
            Some(DefaultValue::Text(text)) => located(text.to_owned(), span),
            _ => located(String::new(), span),
        }
    }

    fn default_number(&mut self, key: &'static str) -> Located<u64> {
        let span = self.span();
        match self.absent(key) {
            Some(DefaultValue::Number(number)) => located(number, span),
            _ => located(0, span),
        }
    }

    fn default_texts(&mut self, key: &'static str) -> Vec<Located<String>> {
        self.absent(key);
        Vec::new()
    }

    /// The default of an absent key; a problem if it is required.
    fn absent(&mut self, key: &'static str) -> Option<DefaultValue> {
        let field = self.schema.field(self.table.section, key)?;
        if field.default == DefaultValue::Required {
            let what = format!("`{key}` is missing in {}", self.place());
            let remedy = format!("add `{key}`: {}", field.meaning);
            self.error(self.span(), what, remedy);
        }
        Some(field.default)
    }

    fn wrong_type(&mut self, field: &Field, span: Range<usize>) {
        let what = format!("`{}` has the wrong type", field.key);
        self.error(span, what, format!("give {}", field.describe_kind()));
    }
}

fn located<T>(value: T, span: Range<usize>) -> Located<T> {
    Located { value, span }
}

/// What to do about a key that is not known.
fn remedy_for(key: &str, known: &[&str]) -> String {
    match nearest(key, known) {
        Some(nearest) => format!("did you mean `{nearest}`?"),
        None => format!("remove it; known here are: {}", known.join(", ")),
    }
}

/// The known key that is nearest to an unknown one, if any is near.
fn nearest<'k>(key: &str, known: &[&'k str]) -> Option<&'k str> {
    known
        .iter()
        .map(|candidate| (edit_distance(key, candidate), *candidate))
        .filter(|(distance, _)| *distance <= SUGGESTION_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Levenshtein's distance between two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (line, letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, other) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(letter != *other);
            diagonal = row[column + 1];
            row[column + 1] = substituted.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
