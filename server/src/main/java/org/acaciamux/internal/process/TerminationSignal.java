package org.acaciamux.internal.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Calls an action on each SIGTERM and SIGINT. Uses the JVM's signal class through
 * reflection, because a shutdown hook cannot tell a second signal from the first.
 * Thread-safe; holds no state.
 */
final class TerminationSignal {

	private TerminationSignal() {
	}

	static void onEach(Runnable action) throws ReflectiveOperationException {
		Class<?> signalClass = Class.forName("sun.misc.Signal");
		Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
		InvocationHandler invocation = (proxy, method, args) -> switch (method.getName()) {
			case "handle" -> {
				action.run();
				yield null;
			}
			case "hashCode" -> System.identityHashCode(proxy);
			case "equals" -> proxy == args[0];
			default -> "termination handler";
		};
		Object handler = Proxy.newProxyInstance(handlerClass.getClassLoader(), new Class<?>[] { handlerClass },
				invocation);
		for (String name : new String[] { "TERM", "INT" }) {
			Object signal = signalClass.getConstructor(String.class).newInstance(name);
			signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
		}
	}

}
