package org.bronzewheel.configuration;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.rules.Rules;

/** A parser of configuration documents, which accepts a document whole or refuses it whole. */
public final class ConfigurationParser {
    /** The name of the inventory file in violations. */
    public static final String INVENTORY = "inventory";

    /** The name of the rules file in violations. */
    public static final String RULES = "rules";

    private static final YAMLFactory YAML =
            YAMLFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
    private static final JsonMapper MAPPER =
            JsonMapper.builder(YAML)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .defaultSetterInfo(JsonSetter.Value.forContentNulls(Nulls.FAIL))
                    .build();

    /**
     * Parses and validates a document.
     *
     * @param document the raw texts
     * @return the accepted configuration
     * @throws InvalidConfigurationException where either file is refused, with every reason found
     */
    public Configuration parse(ConfigurationDocument document) {
        List<Violation> violations = new ArrayList<>();
        Inventory inventory =
                read(INVENTORY, document.inventoryText(), InventoryFile.class, violations);
        Rules rules = read(RULES, document.rulesText(), RulesFile.class, violations);
        if (violations.isEmpty()) {
            violations.addAll(validate(document, inventory, rules));
        }
        if (!violations.isEmpty()) {
            throw new InvalidConfigurationException(violations);
        }
        return new Configuration(document.revision(), document.digest(), inventory, rules);
    }

    private static <T> T read(
            String file, String text, Class<? extends FileForm<T>> form, List<Violation> found) {
        ObjectReader reader = MAPPER.readerFor(form);
        try {
            FileForm<T> parsed = reader.readValue(text);
            if (parsed == null) {
                found.add(new Violation(file, 1, 1, "", "", "a YAML mapping"));
                return null;
            }
            return parsed.toRecord();
        } catch (JsonProcessingException e) {
            found.add(violation(file, text, e));
            return null;
        }
    }

    private static List<Violation> validate(
            ConfigurationDocument document, Inventory inventory, Rules rules) {
        try {
            SourceMap inventoryMap = SourceMap.read(YAML, document.inventoryText());
            SourceMap rulesMap = SourceMap.read(YAML, document.rulesText());
            List<Violation> violations = new ArrayList<>();
            new InventoryValidator(inventory)
                    .validate(
                            (at, expected) ->
                                    violations.add(
                                            inventoryMap.violation(INVENTORY, at, expected)));
            new RulesValidator(rules, inventory)
                    .validate(
                            (at, expected) ->
                                    violations.add(rulesMap.violation(RULES, at, expected)));
            return violations;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Violation violation(String file, String text, JsonProcessingException e) {
        String pointer = pointer(e);
        if (!pointer.isEmpty()) {
            try {
                Violation found =
                        SourceMap.read(YAML, text).violation(file, pointer, expectation(e));
                return e instanceof UnrecognizedPropertyException unknown
                        ? found.withValue(unknown.getPropertyName())
                        : found;
            } catch (IOException unreadable) {
                // The text is no YAML as a whole; the position of the first error is enough.
            }
        }
        JsonLocation location = e.getLocation() == null ? JsonLocation.NA : e.getLocation();
        return new Violation(
                file,
                Math.max(1, location.getLineNr()),
                Math.max(1, location.getColumnNr()),
                pointer,
                "",
                expectation(e));
    }

    private static String pointer(JsonProcessingException e) {
        if (!(e instanceof JsonMappingException mapping)) {
            return "";
        }
        StringBuilder pointer = new StringBuilder();
        for (JsonMappingException.Reference reference : mapping.getPath()) {
            pointer.append('/');
            pointer.append(
                    reference.getFieldName() == null
                            ? Integer.toString(reference.getIndex())
                            : reference.getFieldName());
        }
        return pointer.toString();
    }

    private static String expectation(JsonProcessingException e) {
        if (e instanceof UnrecognizedPropertyException unknown) {
            return "one of the fields " + unknown.getKnownPropertyIds();
        }
        if (e instanceof InvalidFormatException format && format.getTargetType().isEnum()) {
            return "one of " + List.of(format.getTargetType().getEnumConstants());
        }
        if (e instanceof MismatchedInputException mismatch && mismatch.getTargetType() != null) {
            return "a value of type " + mismatch.getTargetType().getSimpleName();
        }
        return e.getOriginalMessage();
    }
}
