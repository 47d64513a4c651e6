package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.concurrent.atomic.AtomicReference;

/** A race of an attempt and its hedge. */
final class Race {
    private Race() {}

    /**
     * Returns the first answer and disposes of the other side.
     *
     * <p>An error of the first side ends the race where the hedge has not begun; an error of one
     * side while the other still runs is kept until the other has ended, too.
     */
    static <T> Single<T> firstAnswer(Single<T> first, HedgeSide<T> hedge) {
        return Single.create(
                emitter -> {
                    AtomicReference<Throwable> failed = new AtomicReference<>();
                    CompositeDisposable both = new CompositeDisposable();
                    emitter.setDisposable(both);
                    both.add(
                            first.subscribe(
                                    emitter::onSuccess,
                                    error -> {
                                        boolean otherFailed = !failed.compareAndSet(null, error);
                                        if (otherFailed || !hedge.hasBegun()) {
                                            emitter.tryOnError(error);
                                        }
                                    }));
                    both.add(
                            hedge.answer()
                                    .subscribe(
                                            emitter::onSuccess,
                                            error -> {
                                                if (!failed.compareAndSet(null, error)) {
                                                    emitter.tryOnError(failed.get());
                                                }
                                            }));
                });
    }
}
