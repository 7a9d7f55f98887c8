"""The operator's configuration: its types (`document`), how it is read and how it is checked.

`parsing` reads the text, `type_check` compares it with the types, `validation` checks its meaning.
"""
