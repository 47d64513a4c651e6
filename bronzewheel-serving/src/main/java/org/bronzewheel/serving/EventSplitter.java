package org.bronzewheel.serving;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** A splitter of a byte stream into whole server-sent events. */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** The last two bytes before the next one, of the pending event only. */
    private byte last;

    private byte beforeLast;

    /** One whole event; its id is empty where it has none or where it is no number. */
    @SuppressWarnings("ArrayRecordComponent")
    record Event(byte[] bytes, OptionalLong id) {}

    /** Takes bytes and returns the events that they complete. */
    List<Event> take(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte next : bytes) {
            pending.write(next);
            if (next == '\n' && endsEvent()) {
                events.add(event(pending.toByteArray()));
                pending.reset();
                beforeLast = 0;
                last = 0;
            } else {
                beforeLast = last;
                last = next;
            }
        }
        return events;
    }

    /** Returns the length of the event that is not whole yet, in bytes. */
    int pendingBytes() {
        return pending.size();
    }

    /** Returns the bytes of an event that is not whole yet. */
    byte[] rest() {
        return pending.toByteArray();
    }

    private boolean endsEvent() {
        return last == '\n' || (last == '\r' && beforeLast == '\n');
    }

    private static Event event(byte[] bytes) {
        for (String line : new String(bytes, StandardCharsets.UTF_8).lines().toList()) {
            if (line.startsWith(ID_FIELD)) {
                return new Event(bytes, number(line.substring(ID_FIELD.length()).trim()));
            }
        }
        return new Event(bytes, OptionalLong.empty());
    }

    private static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
