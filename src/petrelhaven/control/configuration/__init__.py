"""The operator's configuration: its types (`document`), its parsing and its validation.

`parsing` reads the text, `type_check` compares it with the types, and `validation` checks ranges,
references and other rules.
"""
