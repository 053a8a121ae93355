//! Generates settings types, key tables, reference documentation and templates from
//! `schema/settings.yaml`.

use crate::GeneratedFile;
use anyhow::{Context, Result, bail};
use proc_macro2::TokenStream;
use quote::{format_ident, quote};
use serde::Deserialize;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

const HEADER: &str = "//! Settings types. Generated from `schema/settings.yaml` by `cargo xtask generate`; do not edit.\n\n";

/// A settings file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileDefinition {
    name: String,
    doc: String,
    sections: Vec<SectionDefinition>,
}

/// A section: a table or an array of tables.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SectionDefinition {
    name: String,
    doc: String,
    #[serde(default)]
    repeated: bool,
    keys: Vec<KeyDefinition>,
}

/// A settings key.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyDefinition {
    name: String,
    #[serde(rename = "type")]
    kind: String,
    default: Option<serde_yaml::Value>,
    minimum: Option<u64>,
    maximum: Option<u64>,
    round: Option<String>,
    #[serde(default)]
    choices: Vec<String>,
    doc: String,
}

impl KeyDefinition {
    fn default_text(&self) -> String {
        match &self.default {
            Some(serde_yaml::Value::String(text)) => text.clone(),
            Some(serde_yaml::Value::Number(number)) => number.to_string(),
            _ => String::new(),
        }
    }

    /// Returns the default as TOML source.
    fn default_toml(&self) -> String {
        match self.kind.as_str() {
            "integer" => self.default_text(),
            "addresses" => "[]".to_owned(),
            _ => format!("{:?}", self.default_text()),
        }
    }

    fn range_text(&self) -> String {
        match (self.minimum, self.maximum) {
            (Some(minimum), Some(maximum)) => match &self.round {
                Some(direction) => {
                    format!("{minimum} to {maximum}; a fraction is rounded {direction}")
                }
                None => format!("{minimum} to {maximum}"),
            },
            _ if !self.choices.is_empty() => self.choices.join(", "),
            _ => String::new(),
        }
    }
}

/// Generates all files derived from the settings schema.
pub fn generate(schema: &Path) -> Result<Vec<GeneratedFile>> {
    let path = schema.join("settings.yaml");
    let text = std::fs::read_to_string(&path).context("read schema/settings.yaml")?;
    let files: Vec<FileDefinition> = serde_yaml::from_str(&text).context("parse settings.yaml")?;
    let mut generated = vec![
        GeneratedFile {
            path: PathBuf::from("crates/millpass-config/src/generated.rs"),
            content: rust_module(&files)?,
        },
        GeneratedFile {
            path: PathBuf::from("docs/SETTINGS.md"),
            content: reference(&files),
        },
    ];
    for file in &files {
        generated.push(GeneratedFile {
            path: PathBuf::from(format!("examples/templates/{}.toml", file.name)),
            content: template(file),
        });
    }
    Ok(generated)
}

fn to_camel_case(name: &str) -> String {
    let mut chars = name.chars();
    match chars.next() {
        Some(first) => first.to_uppercase().collect::<String>() + chars.as_str(),
        None => String::new(),
    }
}

fn rust_module(files: &[FileDefinition]) -> Result<String> {
    let mut items = TokenStream::new();
    items.extend(quote! {
        use crate::specification::{FileSpecification, KeyKind, KeySpecification, Rounding, SectionSpecification};
        use serde::{Deserialize, Serialize};
    });
    for file in files {
        for section in &file.sections {
            items.extend(section_struct(file, section)?);
        }
        items.extend(file_struct(file));
        items.extend(file_specification(file)?);
    }
    let syntax = syn::parse2(items).context("generated settings do not parse")?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&syntax)))
}

fn section_type(file: &FileDefinition, section: &SectionDefinition) -> proc_macro2::Ident {
    format_ident!(
        "{}{}Section",
        to_camel_case(&file.name),
        to_camel_case(&section.name)
    )
}

fn section_struct(file: &FileDefinition, section: &SectionDefinition) -> Result<TokenStream> {
    let name = section_type(file, section);
    let doc = format!(" {}", section.doc);
    let mut fields = TokenStream::new();
    let mut defaults = TokenStream::new();
    for key in &section.keys {
        let field = format_ident!("{}", key.name);
        let field_doc = format!(" {}", key.doc);
        let text = key.default_text();
        let (kind, default) = match key.kind.as_str() {
            "integer" => {
                let value: u64 = text.parse().unwrap_or(0);
                (quote!(u64), quote!(#value))
            }
            "addresses" => (quote!(Vec<String>), quote!(Vec::new())),
            "text" | "address" | "path" | "choice" => (quote!(String), quote!(#text.to_owned())),
            other => bail!("settings key {}: unknown type {other}", key.name),
        };
        fields.extend(quote! { #[doc = #field_doc] pub #field: #kind, });
        defaults.extend(quote! { #field: #default, });
    }
    Ok(quote! {
        #[doc = #doc]
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct #name { #fields }

        impl Default for #name {
            fn default() -> Self { Self { #defaults } }
        }
    })
}

fn file_struct(file: &FileDefinition) -> TokenStream {
    let name = format_ident!("{}Settings", to_camel_case(&file.name));
    let doc = format!(" {}", file.doc);
    let fields = file.sections.iter().map(|section| {
        let field = format_ident!("{}", section.name);
        let field_doc = format!(" {}", section.doc);
        let kind = section_type(file, section);
        if section.repeated {
            quote! { #[doc = #field_doc] pub #field: Vec<#kind> }
        } else {
            quote! { #[doc = #field_doc] pub #field: #kind }
        }
    });
    quote! {
        #[doc = #doc]
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct #name { #(#fields),* }
    }
}

fn file_specification(file: &FileDefinition) -> Result<TokenStream> {
    let constant = format_ident!("{}_FILE", file.name.to_uppercase());
    let doc = format!(" Keys of the `{}` settings file.", file.name);
    let file_name = &file.name;
    let mut sections = Vec::new();
    for section in &file.sections {
        let section_name = &section.name;
        let repeated = section.repeated;
        let keys = section
            .keys
            .iter()
            .map(key_specification)
            .collect::<Result<Vec<_>>>()?;
        sections.push(quote! {
            SectionSpecification { name: #section_name, repeated: #repeated, keys: &[#(#keys),*] }
        });
    }
    Ok(quote! {
        #[doc = #doc]
        pub const #constant: FileSpecification =
            FileSpecification { name: #file_name, sections: &[#(#sections),*] };
    })
}

fn key_specification(key: &KeyDefinition) -> Result<TokenStream> {
    let name = &key.name;
    let required = key.default.is_none();
    let choices = &key.choices;
    let kind = match key.kind.as_str() {
        "integer" => {
            let minimum = key.minimum.context("integer without minimum")?;
            let maximum = key.maximum.context("integer without maximum")?;
            let rounding = rounding(key)?;
            quote!(KeyKind::Integer { minimum: #minimum, maximum: #maximum, rounding: #rounding })
        }
        "address" => quote!(KeyKind::Address),
        "addresses" => quote!(KeyKind::Addresses),
        "choice" => quote!(KeyKind::Choice(&[#(#choices),*])),
        _ => quote!(KeyKind::Text),
    };
    Ok(quote! { KeySpecification { name: #name, required: #required, kind: #kind } })
}

fn rounding(key: &KeyDefinition) -> Result<TokenStream> {
    match key.round.as_deref() {
        None => Ok(quote!(None)),
        Some("down") => Ok(quote!(Some(Rounding::Down))),
        Some("up") => Ok(quote!(Some(Rounding::Up))),
        Some(other) => bail!("settings key {}: unknown rounding {other}", key.name),
    }
}

fn reference(files: &[FileDefinition]) -> String {
    let mut page = String::from(
        "# Settings\n\nGenerated from `schema/settings.yaml` by `cargo xtask generate`; do not edit. \
         Settings files are TOML. `millpass check FILE` checks a file and reports each invalid key with its remedy.\n\n\
         Keys that accept fractions round them in the direction shown, which is the conservative one. Such keys in \
         milliseconds also accept a string with a unit, such as `\"10.5 s\"` or `\"250 ms\"`.\n",
    );
    for file in files {
        let _ = write!(page, "\n## {}\n\n{}\n", file.name, file.doc);
        for section in &file.sections {
            let heading = if section.repeated {
                format!("[[{}]]", section.name)
            } else {
                format!("[{}]", section.name)
            };
            let _ = write!(page, "\n### `{heading}`\n\n{}\n\n", section.doc);
            page.push_str("| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n");
            for key in &section.keys {
                let default = match key.default {
                    Some(_) => format!("`{}`", key.default_toml()),
                    None => "required".to_owned(),
                };
                let _ = writeln!(
                    page,
                    "| `{}` | {} | {} | {} | {} |",
                    key.name,
                    key.kind,
                    default,
                    key.range_text(),
                    key.doc
                );
            }
        }
    }
    page
}

fn template(file: &FileDefinition) -> String {
    let mut text = format!(
        "# {}\n# Generated template: required keys are marked.\n",
        file.doc
    );
    for section in &file.sections {
        let _ = write!(text, "\n# {}\n", section.doc);
        let heading = if section.repeated {
            format!("[[{}]]", section.name)
        } else {
            format!("[{}]", section.name)
        };
        let _ = writeln!(text, "{heading}");
        for key in &section.keys {
            let _ = writeln!(text, "# {}", key.doc);
            match key.default {
                Some(_) => {
                    let _ = writeln!(text, "# {} = {}", key.name, key.default_toml());
                }
                None => {
                    let _ = writeln!(text, "{} = {} # required", key.name, key.default_toml());
                }
            }
        }
    }
    text
}
