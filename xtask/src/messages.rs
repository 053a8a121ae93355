//! Generates `millpass-proto`'s message types from `schema/*.yaml` with `serde-generate`.

use crate::GeneratedFile;
use anyhow::{Context, Result, bail};
use serde::Deserialize;
use serde_generate::{CodeGeneratorConfig, rust::CodeGenerator};
use serde_reflection::{ContainerFormat, Format, Named, Registry, VariantFormat};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const MODULE: &str = "generated";
const HEADER: &str =
    "//! Message types. Generated from `schema/*.yaml` by `cargo xtask generate`; do not edit.\n\n";
/// Types of `millpass-proto` that are written by hand, by module.
const EXTERNAL_TYPES: [(&str, &[&str]); 1] =
    [("crate::shared", &["SharedBytes", "SharedDocument"])];
const DERIVES: [&str; 6] = ["Clone", "Debug", "PartialEq", "Eq", "PartialOrd", "Ord"];

/// A type definition of the schema.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TypeDefinition {
    doc: String,
    newtype: Option<TypeExpression>,
    fields: Option<Vec<(String, TypeExpression, String)>>,
    variants: Option<Vec<(String, Option<TypeExpression>, String)>>,
}

/// A type expression of the schema.
#[derive(Deserialize)]
#[serde(untagged)]
enum TypeExpression {
    Name(String),
    Sequence {
        #[serde(rename = "SEQ")]
        element: Box<TypeExpression>,
    },
    Optional {
        #[serde(rename = "OPTION")]
        element: Box<TypeExpression>,
    },
}

impl TypeExpression {
    fn format(&self) -> Format {
        match self {
            TypeExpression::Name(name) => named_format(name),
            TypeExpression::Sequence { element } => Format::Seq(Box::new(element.format())),
            TypeExpression::Optional { element } => Format::Option(Box::new(element.format())),
        }
    }
}

fn named_format(name: &str) -> Format {
    match name {
        "BOOL" => Format::Bool,
        "U32" => Format::U32,
        "U64" => Format::U64,
        "STR" => Format::Str,
        "BYTES" => Format::Bytes,
        other => Format::TypeName(other.to_owned()),
    }
}

/// Generates the Rust module from all message schemas.
pub fn generate(schema: &Path) -> Result<GeneratedFile> {
    let definitions = read_definitions(schema)?;
    let mut registry = Registry::new();
    let mut comments = BTreeMap::new();
    for (name, definition) in &definitions {
        registry.insert(name.clone(), container(name, definition)?);
        collect_comments(name, definition, &mut comments);
    }
    let config = CodeGeneratorConfig::new(MODULE.to_owned())
        .with_comments(comments)
        .with_external_definitions(external_definitions());
    let mut rendered = Vec::new();
    CodeGenerator::new(&config)
        .with_derive_macros(DERIVES.iter().map(|name| (*name).to_owned()).collect())
        .with_custom_derive_block(Some("#[derive(Hash)]".to_owned()))
        .output(&mut rendered, &registry)
        .map_err(|error| anyhow::anyhow!("generate messages: {error}"))?;
    let body = String::from_utf8(rendered)?;
    Ok(GeneratedFile {
        path: PathBuf::from("crates/millpass-proto/src/generated.rs"),
        content: format!("{HEADER}{body}"),
    })
}

fn external_definitions() -> BTreeMap<String, Vec<String>> {
    EXTERNAL_TYPES
        .iter()
        .map(|(module, names)| {
            let names = names.iter().map(|name| (*name).to_owned()).collect();
            ((*module).to_owned(), names)
        })
        .collect()
}

fn read_definitions(schema: &Path) -> Result<BTreeMap<String, TypeDefinition>> {
    let mut definitions = BTreeMap::new();
    for entry in std::fs::read_dir(schema).context("read schema/")? {
        let path = entry?.path();
        let is_message_file = path
            .extension()
            .is_some_and(|extension| extension == "yaml")
            && !path.ends_with("settings.yaml");
        if !is_message_file {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        let file: BTreeMap<String, TypeDefinition> =
            serde_yaml::from_str(&text).with_context(|| format!("parse {}", path.display()))?;
        for (name, definition) in file {
            if definitions.insert(name.clone(), definition).is_some() {
                bail!("type {name} is defined twice");
            }
        }
    }
    Ok(definitions)
}

fn container(name: &str, definition: &TypeDefinition) -> Result<ContainerFormat> {
    match (
        &definition.newtype,
        &definition.fields,
        &definition.variants,
    ) {
        (Some(inner), None, None) => Ok(ContainerFormat::NewTypeStruct(Box::new(inner.format()))),
        (None, Some(fields), None) => Ok(ContainerFormat::Struct(
            fields
                .iter()
                .map(|(name, expression, _)| Named {
                    name: name.clone(),
                    value: expression.format(),
                })
                .collect(),
        )),
        (None, None, Some(variants)) => Ok(ContainerFormat::Enum(
            variants
                .iter()
                .enumerate()
                .map(|(index, (name, payload, _))| {
                    let value = match payload {
                        Some(expression) => VariantFormat::NewType(Box::new(expression.format())),
                        None => VariantFormat::Unit,
                    };
                    (
                        index as u32,
                        Named {
                            name: name.clone(),
                            value,
                        },
                    )
                })
                .collect(),
        )),
        _ => bail!("type {name}: give exactly one of newtype, fields, variants"),
    }
}

fn collect_comments(
    name: &str,
    definition: &TypeDefinition,
    comments: &mut BTreeMap<Vec<String>, String>,
) {
    let path = |parts: &[&str]| {
        parts
            .iter()
            .map(|part| (*part).to_owned())
            .collect::<Vec<_>>()
    };
    comments.insert(path(&[MODULE, name]), format!("{}\n", definition.doc));
    for (field, _, doc) in definition.fields.iter().flatten() {
        comments.insert(path(&[MODULE, name, field]), format!("{doc}\n"));
    }
    for (variant, _, doc) in definition.variants.iter().flatten() {
        comments.insert(path(&[MODULE, name, variant]), format!("{doc}\n"));
    }
}
