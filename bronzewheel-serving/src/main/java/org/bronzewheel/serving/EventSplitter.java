package org.bronzewheel.serving;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** Splits a byte stream into complete server-sent events. */
final class EventSplitter {
    private static final String ID_FIELD = "id:";
    private static final String COMMENT = ":";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** The last byte of the pending event; 0 if there is none. */
    private byte lastByte;

    /** The byte before the last one of the pending event; 0 if there is none. */
    private byte secondLastByte;

    /** A complete event; the id is empty if absent or not numeric. */
    @SuppressWarnings("ArrayRecordComponent")
    record Event(byte[] bytes, OptionalLong id) {
        /** Returns whether the event consists of comments only, such as a keep-alive. */
        boolean isComment() {
            return lines(bytes).allMatch(line -> line.isEmpty() || line.startsWith(COMMENT));
        }
    }

    /** Appends bytes and returns the events they complete. */
    List<Event> append(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte next : bytes) {
            pending.write(next);
            if (next == '\n' && endsEvent()) {
                events.add(event(pending.toByteArray()));
                pending.reset();
                secondLastByte = 0;
                lastByte = 0;
            } else {
                secondLastByte = lastByte;
                lastByte = next;
            }
        }
        return events;
    }

    /** Returns the number of bytes after the last complete event. */
    int pendingBytes() {
        return pending.size();
    }

    /** Returns the bytes after the last complete event. */
    byte[] pending() {
        return pending.toByteArray();
    }

    /** Returns whether more than blank lines and comments follows the last complete event. */
    boolean isWithinEvent() {
        if (pending.size() == 0) {
            return false;
        }
        return lastByte != '\n'
                || pending.toString(StandardCharsets.UTF_8)
                        .lines()
                        .anyMatch(line -> !line.isEmpty() && !line.startsWith(COMMENT));
    }

    private boolean endsEvent() {
        return lastByte == '\n' || (lastByte == '\r' && secondLastByte == '\n');
    }

    private static Event event(byte[] bytes) {
        for (String line : lines(bytes).toList()) {
            if (line.startsWith(ID_FIELD)) {
                return new Event(bytes, parseId(line.substring(ID_FIELD.length()).trim()));
            }
        }
        return new Event(bytes, OptionalLong.empty());
    }

    private static Stream<String> lines(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8).lines();
    }

    private static OptionalLong parseId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
